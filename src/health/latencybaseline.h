/** Normal latency of each operation, learnt from all upstreams of a service. */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "health/upstreammapping.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace jackdawdoor::health {

/** Keeps a moving average of the logarithm of the latency per operation and upstream, and takes medians over upstreams.
 *
 * The median over upstreams does not move much when one upstream is slow. Failures are never added, so an
 * upstream that fails fast does not appear fast.
 */
class LatencyBaseline
{
public:
    explicit LatencyBaseline(std::size_t upstreams);

    /** Adds the latency of a successful answer. */
    void add(TimePoint now, const OperationId &operation, std::size_t upstream, Duration latency);

    /** Median over all upstreams, or nothing before the first answer. */
    std::optional<Duration> median(const OperationId &operation) const;

    /** Logarithm of the latency in microseconds, median over the other upstreams; nothing before two of them answered. */
    std::optional<double> siblingMedianLog(const OperationId &operation, std::size_t upstream) const;

    /** The upstream's own typical latency, or nothing before its first answer. */
    std::optional<Duration> ownLatency(const OperationId &operation, std::size_t upstream) const;

    /** Standard deviation of the logarithm of the latency; median over the upstreams, with a lower bound. */
    double spread(const OperationId &operation) const;

    /** Switches to the upstreams of a later policy. */
    void rearrange(TimePoint now, const UpstreamMapping &mapping);

private:
    struct Cell {
        int count = 0;
        double meanLog = 0;
        double meanDeviation = 0; ///< moving mean of the absolute deviation from meanLog
        TimePoint lastAdded;
        std::size_t rank = 0; ///< position in Row::sorted, or the number of upstreams
    };
    struct Row {
        std::vector<Cell> cells; ///< by upstream
        std::vector<double> sorted; ///< means of the upstreams with enough and recent answers, refreshed every few answers
        double spread = 0;
        int addedSince = 0;
    };

    void refresh(TimePoint now, Row &row) const;

    absl::flat_hash_map<OperationId, Row> m_rows;
    std::size_t m_upstreams;
};

} // namespace jackdawdoor::health
