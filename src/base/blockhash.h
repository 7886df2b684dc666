/** XXH3 over bytes that are held in several blocks. */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace jackdawdoor {

/** Same result as stableHash() of the blocks joined into one. */
std::uint64_t stableHashOfBlocks(const std::vector<std::string_view> &blocks, std::uint64_t seed = 0);

} // namespace jackdawdoor
