/** Translates upstream indices of messages between policy versions. */
#pragma once

#include "contract/policy.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace jackdawdoor::limits {

/** Keeps the upstream lists of the latest policy versions.
 *
 * Messages name upstreams by index. While a new version propagates, two instances may use different versions for some
 * seconds; the older lists let them translate each other's indices, so that leases do not expire at each contract change.
 */
class UpstreamIndexTranslator
{
public:
    UpstreamIndexTranslator(const contract::ServicePolicy &policy, std::uint64_t version);

    void adopt(const contract::ServicePolicy &policy, std::uint64_t version);

    std::uint64_t currentVersion() const;
    bool knows(std::uint64_t version) const;

    /** Index in the current policy of the upstream with this index in that version; nothing when it is gone. */
    std::optional<std::size_t> toCurrent(std::uint64_t version, std::size_t index) const;

    /** Index in that version of the upstream with this index in the current policy; nothing when it is not in there. */
    std::optional<std::size_t> fromCurrent(std::uint64_t version, std::size_t index) const;

private:
    struct Version {
        std::uint64_t version = 0;
        std::vector<UpstreamId> upstreams;
    };
    const Version *find(std::uint64_t version) const;

    std::deque<Version> m_versions; ///< the current one first
};

} // namespace jackdawdoor::limits
