/** Where in the text of a contract each key is given.
 *
 * Explanations cite the contract line from which a value follows. Entries of the upstream lists are left out, because
 * they make up most of a large contract and no derived value follows from a single one of them.
 */
#pragma once

#include <map>
#include <string>

namespace jackdawdoor::contract {

/** Line numbers, counted from 1, by key path such as "services[0].healthyFloor". */
class SourceLines
{
public:
    /** Notes the line of a key; the first one noted stays. */
    void add(const std::string &keyPath, int line);

    /** Line of the key or of the nearest enclosing key that is given in the text; 0 when the contract has no text. */
    int lineOf(std::string keyPath) const;

private:
    std::map<std::string, int> m_lines;
};

} // namespace jackdawdoor::contract
