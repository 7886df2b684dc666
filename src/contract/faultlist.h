/** List of the faults found in a contract. */
#pragma once

#include "contract/fault.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::contract {

/** Collects faults. Stops listing them after a bound, so that a hostile text can't make a report larger than itself. */
class FaultList
{
public:
    void add(std::string keyPath, int line, std::string reason, std::string acceptedRange);

    bool empty() const
    {
        return m_faults.empty();
    }

    /** The faults by line; faults of one line keep the order in which they were found. */
    std::vector<Fault> takeSorted();

private:
    std::vector<Fault> m_faults;
};

/** Bytes of a text that are printed in a fault; the longest accepted name has 63. */
inline constexpr std::size_t printedBytes = 64;

/** A text from a contract, made safe to print: shortened, and with control characters replaced by '?'. */
std::string printable(std::string_view text, std::size_t maximumBytes = printedBytes);

/** Key path of a member of an object; the document itself has the empty path. */
std::string joinKey(const std::string &path, std::string_view key);

/** Key path of an element of a list. */
std::string joinIndex(const std::string &path, std::size_t index);

} // namespace jackdawdoor::contract
