#include "contract/objectreader.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::contract {

ObjectReader::ObjectReader(const DocumentNode &node, std::string path, FaultList &faults, SourceLines *lines)
    : m_path(std::move(path))
    , m_node(node)
    , m_faults(faults)
    , m_lines(lines)
{
    if (m_lines != nullptr) {
        m_lines->add(m_path, node.line);
    }
    if (node.kind != DocumentNode::Kind::Object) {
        m_faults.add(m_path, node.line, describe(node) + " is not accepted", "an object");
    }
}

const DocumentNode *ObjectReader::find(const std::string &key)
{
    m_known.insert(key);
    const auto found = std::find_if(m_node.members.begin(), m_node.members.end(), [&key](const DocumentMember &member) {
        return member.key == key;
    });
    if (found == m_node.members.end()) {
        return nullptr;
    }
    if (m_lines != nullptr) {
        m_lines->add(joinKey(m_path, key), found->value.line);
    }
    return &found->value;
}

const std::vector<DocumentNode> *ObjectReader::requiredList(const std::string &key, std::size_t maximum)
{
    const std::string accepted = "list of 1 to " + std::to_string(maximum) + " elements";
    const DocumentNode *node = find(key);
    if (node == nullptr) {
        missing(key, accepted);
        return nullptr;
    }
    if (node->kind != DocumentNode::Kind::Array || node->elements.empty()) {
        m_faults.add(joinKey(m_path, key), node->line, describe(*node) + " is not accepted", accepted);
        return nullptr;
    }
    if (node->elements.size() > maximum) {
        m_faults.add(joinKey(m_path, key), node->line, "the list has " + std::to_string(node->elements.size()) + " elements", accepted);
        return nullptr;
    }
    return &node->elements;
}

void ObjectReader::missing(const std::string &key, const std::string &accepted)
{
    if (m_node.kind == DocumentNode::Kind::Object) {
        m_faults.add(joinKey(m_path, key), m_node.line, "the key is missing", accepted);
    }
}

void ObjectReader::contradiction(const std::string &key, const std::string &reason, const std::string &accepted)
{
    const DocumentNode *node = find(key);
    m_faults.add(joinKey(m_path, key), node == nullptr ? m_node.line : node->line, reason, accepted);
}

void ObjectReader::finish()
{
    std::string accepted;
    for (const std::string &key : m_known) {
        accepted += (accepted.empty() ? "" : ", ") + key;
    }
    for (const DocumentMember &member : m_node.members) {
        if (!m_known.contains(member.key)) {
            m_faults.add(joinKey(m_path, member.key), member.line, "the key is unknown", "one of: " + accepted);
        }
    }
}

} // namespace jackdawdoor::contract
