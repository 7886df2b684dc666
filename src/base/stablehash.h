/** Hashes on which all instances must agree.
 *
 * std::hash and absl::Hash differ between builds and processes; placement, ownership and digests need a hash that is
 * the same everywhere, which xxHash gives.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace jackdawdoor {

/** 64-bit hash of some bytes, the same on every instance and in every version. */
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/** Rendezvous weight of a candidate for a key: the candidate with the largest weight owns the key. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace jackdawdoor
