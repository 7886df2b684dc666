#include "fleet/concurrentplacement.h"

#include <algorithm>

namespace jackdawdoor::fleet {

namespace {

/** Bounds the work for one request. */
constexpr int maximumAssumedRequests = 200;

/** An upstream with its cost, ordered so that a heap has the lowest cost on top. */
struct Candidate {
    double cost = 0;
    std::size_t upstream = 0;
    int additional = 0; ///< requests that are assumed to have been placed there

    bool operator<(const Candidate &other) const
    {
        return cost > other.cost;
    }
};

} // namespace

double unreportedRequests(double requestsPerSecond, std::size_t otherInstances)
{
    const double others = static_cast<double>(otherInstances);
    const double meanReportAge = toSeconds(loadReportPeriod) / 2;
    return requestsPerSecond * meanReportAge * others / (others + 1);
}

std::optional<std::size_t> placeConcurrently(std::size_t upstreams, double unreported, const CostWithLoad &cost, RandomSource &random)
{
    std::vector<Candidate> heap;
    heap.reserve(upstreams);
    for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
        if (const auto value = cost(upstream, 0)) {
            heap.push_back({*value, upstream, 0});
        }
    }
    if (heap.empty()) {
        return std::nullopt;
    }
    std::make_heap(heap.begin(), heap.end());
    const std::size_t cheapest = heap.front().upstream;
    const int before = std::min(maximumAssumedRequests, static_cast<int>((unreported + 1) * uniform(random)));
    for (int placed = 0; placed < before && !heap.empty(); ++placed) {
        std::pop_heap(heap.begin(), heap.end());
        Candidate &taken = heap.back();
        const auto next = cost(taken.upstream, taken.additional + 1);
        if (!next) {
            heap.pop_back();
            continue;
        }
        taken.cost = *next;
        ++taken.additional;
        std::push_heap(heap.begin(), heap.end());
    }
    // The assumed requests are only an expectation, so they do not refuse this one.
    return heap.empty() ? cheapest : heap.front().upstream;
}

} // namespace jackdawdoor::fleet
