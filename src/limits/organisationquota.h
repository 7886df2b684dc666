/** Fleet-wide quotas of organisations: a replicated token bucket without a coordinator.
 *
 * Each instance counts the requests of all instances: its own at once, those of others when their reports arrive. The
 * balance may become negative, and the debt is paid back before anyone is admitted, so the long-term rate holds. See
 * docs/design/organisation-quotas.md.
 */
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "limits/quotabucket.h"
#include "limits/quotareport.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <vector>

namespace jackdawdoor::limits {

/** Minimum time between two reports. */
constexpr Duration minimumQuotaPeriod = std::chrono::milliseconds{20};
/** Interval of reports without urgent changes, which tell that this instance is alive. */
constexpr Duration calmQuotaPeriod = std::chrono::milliseconds{100};
/** Interval of reports of all counters that changed recently. */
constexpr Duration fullQuotaPeriod = std::chrono::milliseconds{360};
/** Reports that one instance sends in a second, over all receivers. */
constexpr int maximumQuotaDatagramsPerSecond = 2000;

/** Decision on one request, and what it was based on. */
struct QuotaDecision {
    bool admitted = true;
    Duration retryAfter{};
    double balance = 0; ///< tokens after the decision
    Duration reportAge{}; ///< time since the last report of another instance; zero if there is none

    bool operator==(const QuotaDecision &) const = default;
};

/** Quotas of all organisations at one instance. Times must not go back. */
class OrganisationQuota
{
public:
    /** Returns the quota of the organisation with that key; one without a rate if it has none. */
    using LimitLookup = std::function<QuotaLimit(std::uint64_t key)>;

    OrganisationQuota(TimePoint now, std::uint64_t seed, LimitLookup limitOf);

    /** Decides on a request. The cost does not depend on the number of organisations. */
    QuotaDecision admit(TimePoint now, std::uint64_t key, const QuotaLimit &limit);

    /** An admitted request was refused afterwards and never ran. */
    void giveBack(TimePoint now, std::uint64_t key);

    /** Applies a report of another instance. Returns the number of items that are invalid; they change nothing. */
    int receive(TimePoint now, const InstanceRef &from, const QuotaReport &report);

    /** Sets whether callers use this instance. If not, it reports only requests that it has had all the same, such as checks by the
     * operator, sends no signs of life and gets no reports: with all instances of a fleet taking part, these would cost more than
     * the requests. So when callers begin to use it, what it knows is old, and its buckets begin as after a start. */
    void setServing(TimePoint now, bool serving);

    /** The instance has left in a planned way, so its absence says nothing about the links. */
    void forget(const InstanceId &instance);

    /** True if this instance has had requests of organisations with a quota lately, and so sends reports. */
    bool active(TimePoint now) const;

    /** Returns the reports that are due, one for each datagram: urgent changes or, at a longer interval, all recent ones. Empty if none
     * is due. */
    std::vector<QuotaReport> takeReport(TimePoint now, std::size_t receivers);

    /** Returns the counters that changed recently, for an instance that needs them at once. */
    std::vector<QuotaReport> recentReport(TimePoint now);

    /** Returns a report that this instance no longer admits requests. */
    QuotaReport farewell(TimePoint now);

    /** Instances that send reports. */
    std::vector<InstanceId> reporters() const;

    /** Part of the reporting instances that are heard from, this one included. */
    double visibleShare(TimePoint now);

    /** Forgets organisations without requests and instances that are silent. */
    void expire(TimePoint now);

    /** Organisations with a bucket. */
    std::size_t buckets() const;

private:
    struct PeerCounter {
        QuotaItem item;
        std::int64_t sequence = 0;
        TimePoint at{};
    };
    struct Peer {
        Incarnation incarnation = 0;
        bool active = true;
        TimePoint heard{};
        TimePoint returned{}; ///< end of its last silence that looked like a cut
        Duration silence{}; ///< length of that silence
        std::int64_t sequence = 0;
        absl::flat_hash_map<std::uint64_t, PeerCounter> counters;
    };

    QuotaBucket *bucketFor(TimePoint now, std::uint64_t key, const QuotaLimit &limit);
    bool apply(TimePoint now, Peer &peer, const QuotaReport &report, const QuotaItem &item);
    std::vector<QuotaReport> reportOf(TimePoint now, const std::vector<QuotaItem> &items, bool active);
    std::vector<QuotaItem> changedItems(TimePoint now);
    std::vector<QuotaItem> takeUrgentItems(TimePoint now);
    std::vector<QuotaReport> takeQuietReport(TimePoint now);
    std::int64_t uptime(TimePoint now) const;
    Duration visibleTime() const;

    TimePoint m_start;
    TimePoint m_knownSince; ///< reports of the others have been received since then
    RandomSource m_random;
    LimitLookup m_limitOf;
    absl::flat_hash_map<std::uint64_t, QuotaBucket> m_buckets;
    std::vector<std::uint64_t> m_urgent; ///< changed since the last report while tokens were scarce; may repeat
    std::map<InstanceId, Peer> m_peers;
    Duration m_period = minimumQuotaPeriod;
    TimePoint m_lastAsked{};
    TimePoint m_lastHeard{};
    TimePoint m_lastReport{};
    TimePoint m_lastFullReport{};
    TimePoint m_shareAt{};
    double m_share = 1;
    std::int64_t m_sequence = 0;
    bool m_serving = true;
};

} // namespace jackdawdoor::limits
