/** Hash functions with the same result on all instances.
 *
 * std::hash and absl::Hash may differ between builds and processes, so placement, ownership and digests use XXH3.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace jackdawdoor {

/** Returns a 64-bit hash that is identical on all instances and in all releases. */
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/** Returns the rendezvous hashing weight of a candidate; the candidate with the largest weight owns the key. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace jackdawdoor
