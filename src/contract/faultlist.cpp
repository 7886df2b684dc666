#include "contract/faultlist.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::contract {

namespace {

constexpr std::size_t maximumFaults = 1000; // more than an operator can read at once

bool continuesCharacter(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U;
}

} // namespace

void FaultList::add(std::string keyPath, int line, std::string reason, std::string acceptedRange)
{
    if (m_faults.size() > maximumFaults) {
        return;
    }
    if (m_faults.size() == maximumFaults) {
        m_faults.push_back({"", line, "further faults are not listed", "at most 1000 faults are listed"});
        return;
    }
    m_faults.push_back({std::move(keyPath), line, std::move(reason), std::move(acceptedRange)});
}

std::vector<Fault> FaultList::takeSorted()
{
    std::stable_sort(m_faults.begin(), m_faults.end(), [](const Fault &left, const Fault &right) {
        return left.line < right.line;
    });
    return std::move(m_faults);
}

std::string printable(std::string_view text, std::size_t maximumBytes)
{
    const bool shortened = text.size() > maximumBytes;
    std::size_t length = shortened ? maximumBytes : text.size();
    while (shortened && length > 0 && continuesCharacter(text[length])) {
        --length;
    }
    std::string result(text.substr(0, length));
    std::replace_if(
        result.begin(),
        result.end(),
        [](char byte) {
            return static_cast<unsigned char>(byte) < 0x20U || byte == 0x7f;
        },
        '?');
    return shortened ? result + "..." : result;
}

std::string joinKey(const std::string &path, std::string_view key)
{
    return path.empty() ? printable(key) : path + "." + printable(key);
}

std::string joinIndex(const std::string &path, std::size_t index)
{
    return path + "[" + std::to_string(index) + "]";
}

} // namespace jackdawdoor::contract
