#include "base/stablehash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jackdawdoor {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return stableHash(candidate, stableHash(key));
}

} // namespace jackdawdoor
