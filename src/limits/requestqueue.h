/** Requests that wait on one instance for a slot of one service. */
#pragma once

#include "base/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawdoor::limits {

/** A waiting request. */
struct QueuedRequest {
    std::uint64_t id = 0;
    std::string organisation;
    TimePoint deadline; ///< it must be dispatched before this time to be of use
    int cost = 1; ///< relative work, at least 1; organisations share the service by cost

    bool operator==(const QueuedRequest &) const = default;
};

/** Result of admission control for a request. */
enum class QueueAdmission {
    Admitted,
    QueueFull, ///< no room, and no other organisation has at least two more waiting than its own
    DeadlineTooShort, ///< at the current service rate it would be dispatched too late
};

/** Result of RequestQueue::push. */
struct PushResult {
    QueueAdmission admission = QueueAdmission::Admitted;
    Duration expectedWait{}; ///< estimate for this request, also when it was refused
    std::optional<std::uint64_t> displaced; ///< evicted from the organisation with the longest queue; refuse it as not run

    bool operator==(const PushResult &) const = default;
};

/** Bounded queue, earliest deadline first within an organisation and deficit round robin between organisations.
 *
 * Only organisations that have a request waiting take memory, so the bound on requests also bounds them.
 */
class RequestQueue
{
public:
    explicit RequestQueue(std::size_t bound);

    PushResult push(TimePoint now, const QueuedRequest &request);

    /** The next request to dispatch. Expired ones are never returned; collect them with takeExpired. */
    std::optional<QueuedRequest> pop(TimePoint now);

    /** Removes and returns the requests whose deadline has passed. */
    std::vector<std::uint64_t> takeExpired(TimePoint now);

    /** Removes a request whose caller disconnected. Returns false when it is not queued. */
    bool remove(std::uint64_t id);

    /** A request of the service ended and freed a slot; the rate of these is the service rate. */
    void onServed(TimePoint now);

    std::size_t size() const;

    /** Expected wait of a further request of an organisation with no other one waiting. */
    Duration expectedWait(TimePoint now) const;

private:
    struct Order {
        TimePoint deadline;
        std::uint64_t arrival = 0;
        bool operator<(const Order &other) const
        {
            return deadline != other.deadline ? deadline < other.deadline : arrival < other.arrival;
        }
    };
    struct Item {
        Order order;
        QueuedRequest request;
        bool operator<(const Item &other) const
        {
            return order < other.order;
        }
    };
    struct Organisation {
        std::string name;
        std::set<Item> items;
        int deficit = 0;
        bool hasQuantum = false; ///< got its quantum in the current round
    };
    using OrganisationIterator = std::list<Organisation>::iterator;

    void endTurn();
    Duration expectedWaitOf(TimePoint now, const QueuedRequest &request) const;
    void recordAdmission(TimePoint now);
    Duration waitFor(TimePoint now, std::size_t requestsAhead) const;
    std::optional<std::uint64_t> displaceFor(const QueuedRequest &request);
    QueuedRequest take(OrganisationIterator organisation, std::set<Item>::iterator item);

    std::size_t m_bound;
    std::list<Organisation> m_activeOrganisations; ///< organisations with waiting requests, in round-robin order
    absl::flat_hash_map<std::string, OrganisationIterator> m_byName;
    absl::flat_hash_map<std::uint64_t, std::pair<std::string, Order>> m_byId;
    std::set<std::pair<TimePoint, std::uint64_t>> m_byDeadline; ///< deadline and id of each request
    std::uint64_t m_nextArrival = 0;
    double m_admittedPerSecond = 0; ///< moving average at m_lastAdmitted
    TimePoint m_lastAdmitted;
    std::optional<TimePoint> m_lastServed;
    double m_secondsPerRequest = 0; ///< moving average of the time between served requests; 0 when unknown
};

} // namespace jackdawdoor::limits
