/** Placement of requests that several instances send at the same time with the same information.
 *
 * The load of other instances is known by reports that are some time old. If every instance sent its next request to the upstream
 * with the lowest cost, all requests that arrive between two reports would meet there, and queue while other upstreams are idle
 * (herd effect). So an instance assumes that the requests of the others which it has not heard of are placed one by one, each at
 * the lowest cost that the ones before have left. Its own request takes a random place in this sequence. Answers the load of many
 * instances before upstreams with few slots; with few unreported requests the lowest cost wins, as without it.
 */
#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace jackdawdoor::fleet {

/** Interval of load reports among the instances that serve requests. */
constexpr Duration loadReportPeriod = std::chrono::milliseconds{250};

/** Returns the expected number of a service's requests that other instances have begun since their latest load reports.
 * requestsPerSecond: of the service, summed over all instances. */
double unreportedRequests(double requestsPerSecond, std::size_t otherInstances);

/** Cost of an upstream with that many requests more than are known; nothing if it has no room for another one. */
using CostWithLoad = std::function<std::optional<double>(std::size_t upstream, int additional)>;

/** Returns the index of the upstream for one request, or nothing if none has room. unreported: see unreportedRequests(). */
std::optional<std::size_t> placeConcurrently(std::size_t upstreams, double unreported, const CostWithLoad &cost, RandomSource &random);

} // namespace jackdawdoor::fleet
