/** Token bucket of one organisation, as known to one instance. */
#pragma once

#include "base/time.h"
#include "limits/quotareport.h"

namespace jackdawdoor::limits {

/** Quota of an organisation over all instances. */
struct QuotaLimit {
    double requestsPerSecond = 0; ///< zero: no limit
    double burst = 0; ///< requests

    bool operator==(const QuotaLimit &) const = default;
};

/** Balance, demand and own counters of one organisation. Times must not go back. */
class QuotaBucket
{
public:
    /** known: time for which this process has followed the fleet, since it starts with a single token. */
    QuotaBucket(TimePoint now, const QuotaLimit &limit, Duration known);

    /** Adds the tokens since the last call. share: part of the quota that this instance and those that it hears may use. */
    void refill(TimePoint now, const QuotaLimit &limit, double share);

    /** Counts a request of this instance, admitted or not. uptime: of this instance, for QuotaItem::started. */
    void ask(TimePoint now, std::int64_t uptime);

    /** Probability with which a request may use a token, so that instances that see the same token do not all use it.
     * knowledgeTime: time until all instances know of an admission. */
    double admissionProbability(Duration knowledgeTime) const;

    /** Admits a request of this instance. */
    void admit();

    /** An admitted request of this instance never ran. */
    void giveBack(TimePoint now);

    /** Charges admissions and counts demand of another instance. */
    void charge(TimePoint now, double admitted, double asked);

    /** Moves the balance towards that of another instance, so that balances agree after a restart, a cut or lost messages. */
    void approach(double balance);

    /** What is known of other instances is old: keeps at most one token, and follows the next reports closely. */
    void resetKnowledge();

    /** Time until a token is left for a caller that waits now. */
    Duration timeUntilToken() const;

    /** Other instances must learn of the own admissions soon: tokens are scarce, or that many instances could together admit
     * too much before they know of each other. */
    bool urgent(std::size_t instances) const;

    /** Returns the own counters for a report. */
    QuotaItem takeItem(std::uint64_t key);

    double balance() const;
    double demand() const; ///< requests a second of all instances
    TimePoint lastAsked() const; ///< by any instance
    TimePoint changed() const; ///< last change of the own counters
    const QuotaLimit &limit() const;

private:
    double capacity() const;

    QuotaLimit m_limit;
    double m_share = 1;
    double m_balance = 0;
    double m_recentAsked = 0; ///< decaying count
    double m_earlierAsked = 0; ///< count that decays more slowly
    int m_balancesSeen = 0; ///< weight of the own balance against that in a report
    TimePoint m_updated;
    TimePoint m_lastAsked;
    TimePoint m_changed{};
    QuotaItem m_own;
    std::int64_t m_reported = 0; ///< admissions in the last report
};

} // namespace jackdawdoor::limits
