/** Identity of a request across repeats by its caller, which may arrive at any instance. */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace jackdawdoor::fleet {

/** Hashes of organisation, host, method, body and target. A repeat may have another query, and a path may be shared by many requests that
 * differ only in their query, so both identities are kept. */
struct RequestFingerprint {
    std::uint64_t exact = 0; ///< with the query
    std::uint64_t path = 0; ///< without the query

    /** Both identities, or one if there is no query. */
    std::vector<std::uint64_t> identities() const;

    bool operator==(const RequestFingerprint &) const = default;
};

/** Returns the fingerprint of a request. target: path and query. bodyBlocks: the body in consecutive parts. organisation: name of
 * the caller's, or empty if unknown. */
RequestFingerprint fingerprintOf(std::string_view host,
                                 std::string_view method,
                                 std::string_view target,
                                 const std::vector<std::string_view> &bodyBlocks,
                                 std::string_view organisation = {});

/** The same for a body in one block. */
RequestFingerprint fingerprintOf(std::string_view host,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body,
                                 std::string_view organisation = {});

} // namespace jackdawdoor::fleet
