/** Uniqueness check of names. */
#pragma once

#include "contract/faultlist.h"

#include <map>
#include <string>

namespace jackdawdoor::contract {

/** Names that have been used in one scope, with the line of their first use. */
class UniqueNames
{
public:
    /** Accepted range for faults, such as "a name that no other service has". */
    explicit UniqueNames(std::string accepted)
        : m_accepted(std::move(accepted))
    {
    }

    /** Records a name; a repeated one is a fault at the given key. */
    void add(const std::string &name, const std::string &keyPath, int line, FaultList &faults)
    {
        const auto [first, added] = m_lines.emplace(name, line);
        if (!added) {
            faults.add(keyPath, line, "\"" + printable(name) + "\" is already used on line " + std::to_string(first->second), m_accepted);
        }
    }

private:
    std::string m_accepted;
    std::map<std::string, int> m_lines;
};

} // namespace jackdawdoor::contract
