/** Share of a service's recent requests, at all instances, that got no successful answer.
 *
 * An instance counts its own requests and failures and adds those that the others' load reports name. While the share is
 * elevated, all ready upstreams of the service are kept in use: the operator's floor counts only the upstreams without a
 * recent disruption, and these may all be among the few that a floor over all ready upstreams leaves out.
 */
#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace jackdawdoor::fleet {

/** Requests and failures of one service in a sliding window. */
class FailureShare
{
public:
    /** Requests of the service have arrived at this or another instance. */
    void addRequests(TimePoint now, int requests);

    /** A request at this instance got no successful answer. */
    void addOwnFailure(TimePoint now);

    /** Requests at another instance got no successful answer. */
    void addOtherFailures(TimePoint now, int failures);

    /** Own failures since the last call, for the report to the other instances. */
    int takeUnreportedFailures();

    /** Failures of the window as a share of its requests; zero if there are too few failures to tell. */
    double share(TimePoint now) const;

    /** Evaluates the share. Returns true if elevated() has changed. */
    bool update(TimePoint now);

    /** True if the share was at least a tenth at the last update. */
    bool elevated() const;

private:
    struct Bucket {
        std::int64_t number = 0; ///< bucket lengths since the epoch
        int requests = 0;
        int failures = 0;
    };

    Bucket &bucketAt(TimePoint now);

    static constexpr std::size_t bucketCount = 8; ///< a window of 1.6 s
    std::array<Bucket, bucketCount> m_buckets{};
    int m_unreported = 0;
    bool m_elevated = false;
};

} // namespace jackdawdoor::fleet
