#include "contract/documentnode.h"

#include "contract/faultlist.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::contract {

std::string describe(const DocumentNode &node)
{
    switch (node.kind) {
    case DocumentNode::Kind::Null:
        return "null";
    case DocumentNode::Kind::Boolean:
        return node.boolean ? "true" : "false";
    case DocumentNode::Kind::Integer:
        return "the number " + std::to_string(node.integer);
    case DocumentNode::Kind::Number:
        return "the number " + nlohmann::json(node.number).dump();
    case DocumentNode::Kind::String:
        return "the text \"" + printable(node.text) + "\"";
    case DocumentNode::Kind::Array:
        return node.elements.empty() ? "an empty list" : "a list";
    case DocumentNode::Kind::Object:
        return "an object";
    }
    return "an unknown value";
}

} // namespace jackdawdoor::contract
