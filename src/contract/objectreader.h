/** Reader of the keys of one object of the contract. */
#pragma once

#include "contract/documentnode.h"
#include "contract/faultlist.h"
#include "contract/sourcelines.h"
#include "contract/valuerule.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawdoor::contract {

/** Reads keys by rule, records faults and tracks the keys read, so that finish() can report unknown keys. */
class ObjectReader
{
public:
    /** Lines of the keys go to `lines` unless it is nullptr. A node that is not an object is a fault and has no keys. */
    ObjectReader(const DocumentNode &node, std::string path, FaultList &faults, SourceLines *lines);

    const std::string &path() const
    {
        return m_path;
    }

    /** Value of a key, or nothing when it is absent. */
    const DocumentNode *find(const std::string &key);

    /** Value of a key that must be given; faults when it is absent or not accepted. */
    template <typename Value>
    std::optional<Value> required(const std::string &key, const ValueRule<Value> &rule)
    {
        const DocumentNode *node = find(key);
        if (node == nullptr) {
            missing(key, rule.accepted);
            return std::nullopt;
        }
        return read(*node, joinKey(m_path, key), rule);
    }

    /** Value of a key, `absent` when it is not given, and nothing when it is given but not accepted. */
    template <typename Value>
    std::optional<Value> optional(const std::string &key, const ValueRule<Value> &rule, Value absent)
    {
        const DocumentNode *node = find(key);
        return node == nullptr ? std::optional<Value>(std::move(absent)) : read(*node, joinKey(m_path, key), rule);
    }

    /** Elements of a list that must be given and have 1 to `maximum` elements; nullptr after a fault. */
    const std::vector<DocumentNode> *requiredList(const std::string &key, std::size_t maximum);

    /** One value by its rule, with a fault when it is not accepted. */
    template <typename Value>
    std::optional<Value> read(const DocumentNode &node, const std::string &keyPath, const ValueRule<Value> &rule)
    {
        auto value = rule.read(node);
        if (!value) {
            m_faults.add(keyPath, node.line, describe(node) + " is not accepted", rule.accepted);
        }
        return value;
    }

    /** Reports a key that must be given. */
    void missing(const std::string &key, const std::string &accepted);

    /** Reports a key that is given but contradicts another one. */
    void contradiction(const std::string &key, const std::string &reason, const std::string &accepted);

    /** Reports each key of the object that was not read as unknown. */
    void finish();

private:
    std::string m_path;
    const DocumentNode &m_node;
    FaultList &m_faults;
    SourceLines *m_lines;
    std::set<std::string> m_known;
};

} // namespace jackdawdoor::contract
