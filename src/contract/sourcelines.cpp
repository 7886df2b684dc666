#include "contract/sourcelines.h"

namespace jackdawdoor::contract {

void SourceLines::add(const std::string &keyPath, int line)
{
    m_lines.emplace(keyPath, line);
}

int SourceLines::lineOf(std::string keyPath) const
{
    while (true) {
        const auto found = m_lines.find(keyPath);
        if (found != m_lines.end()) {
            return found->second;
        }
        if (keyPath.empty()) {
            return 0;
        }
        const auto separator = keyPath.find_last_of(".[");
        keyPath.resize(separator == std::string::npos ? 0 : separator);
    }
}

} // namespace jackdawdoor::contract
