#include "base/blockhash.h"

#include "base/stablehash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jackdawdoor {

std::uint64_t stableHashOfBlocks(const std::vector<std::string_view> &blocks, std::uint64_t seed)
{
    if (blocks.size() <= 1) {
        return stableHash(blocks.empty() ? std::string_view{} : blocks.front(), seed);
    }
    XXH3_state_t state;
    XXH3_INITSTATE(&state);
    XXH3_64bits_reset_withSeed(&state, seed);
    for (const std::string_view block : blocks) {
        XXH3_64bits_update(&state, block.data(), block.size());
    }
    return XXH3_64bits_digest(&state);
}

} // namespace jackdawdoor
