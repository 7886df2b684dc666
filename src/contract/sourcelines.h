/** Line numbers of the keys in a contract's text.
 *
 * Explanations cite the contract line from which a value is derived. Entries of the upstream lists are left out, because
 * they make up most of a large contract and no value is derived from a single one of them.
 */
#pragma once

#include <map>
#include <string>

namespace jackdawdoor::contract {

/** Line numbers, counted from 1, by key path such as "services[0].healthyFloor". */
class SourceLines
{
public:
    /** Records the line of a key; later calls for the same key are ignored. */
    void add(const std::string &keyPath, int line);

    /** Line of the key or of the nearest enclosing key that is given in the text; 0 when the contract has no text. */
    int lineOf(std::string keyPath) const;

private:
    std::map<std::string, int> m_lines;
};

} // namespace jackdawdoor::contract
