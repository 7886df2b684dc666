#include "limits/quotabucket.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::limits {

namespace {

/** Tokens beyond the burst, so that requests that come unevenly below the quota are not refused. The platform allows a tenth
 * and 20 requests above the quota in 5 s. */
constexpr Duration toleranceTime = std::chrono::milliseconds{200};
constexpr double minimumTolerance = 5; ///< requests
/** Maximum debt, as the requests of this time, so that a wrong report does not keep an organisation out for long. */
constexpr Duration maximumDebtTime = std::chrono::seconds{3};
constexpr double minimumDebt = 20; ///< requests
/** Averaging time of the demand. */
constexpr Duration demandWindow = std::chrono::milliseconds{250};
/** The same for demand that has ended, since an instance that is cut off must not take the silence of the others for an end of
 * their demand before it is known to be cut off. */
constexpr Duration earlierDemandWindow = std::chrono::milliseconds{1000};
/** A report moves the receiver's balance by the difference of the two over this number. Reports are older than what the receiver
 * knows, so with 50 a rapid fall of the balance was averaged away and a burst exceeded the bound. */
constexpr int approachWeight = 500;
/** An instance that has been up for less follows the first reports closely, since its own balance began empty. */
constexpr Duration youngTime = std::chrono::seconds{10};
/** Tokens are scarce when they suffice for less than this time of the demand. */
constexpr double scarceSeconds = 0.5;

} // namespace

QuotaBucket::QuotaBucket(TimePoint now, const QuotaLimit &limit, Duration known)
    : m_limit(limit)
    , m_updated(now)
    , m_lastAsked(now)
{
    m_balance = std::min(capacity(), 1 + limit.requestsPerSecond * toSeconds(known));
    m_balancesSeen = known < youngTime ? 0 : approachWeight;
}

double QuotaBucket::capacity() const
{
    const double tolerance = std::max(minimumTolerance, m_limit.requestsPerSecond * toSeconds(toleranceTime));
    return std::max(1.0, (m_limit.burst + tolerance) * m_share);
}

void QuotaBucket::refill(TimePoint now, const QuotaLimit &limit, double share)
{
    const double seconds = std::max(0.0, toSeconds(now - m_updated));
    m_updated = std::max(m_updated, now);
    m_limit = limit;
    m_share = share;
    m_balance = std::min(capacity(), m_balance + limit.requestsPerSecond * share * seconds);
    m_recentAsked *= std::exp(-seconds / toSeconds(demandWindow));
    m_earlierAsked *= std::exp(-seconds / toSeconds(earlierDemandWindow));
}

void QuotaBucket::ask(TimePoint now, std::int64_t uptime)
{
    // The counters begin with the first own request, not with the bucket, which may exist because of other instances.
    m_own.started = m_own.asked == 0 ? uptime : m_own.started;
    ++m_own.asked;
    m_recentAsked += 1;
    m_earlierAsked += 1;
    m_lastAsked = now;
    m_changed = now;
}

double QuotaBucket::admissionProbability(Duration knowledgeTime) const
{
    const double sameToken = std::max(1.0, demand() * toSeconds(knowledgeTime));
    return m_balance < 1 ? 0.0 : std::min(1.0, m_balance / sameToken);
}

void QuotaBucket::admit()
{
    ++m_own.admitted;
    m_balance -= 1;
}

void QuotaBucket::giveBack(TimePoint now)
{
    ++m_own.givenBack;
    m_changed = now;
    m_balance = std::min(capacity(), m_balance + 1);
}

void QuotaBucket::charge(TimePoint now, double admitted, double asked)
{
    const double maximumDebt = std::max(minimumDebt, m_limit.requestsPerSecond * toSeconds(maximumDebtTime));
    m_balance = std::clamp(m_balance - admitted, -maximumDebt, capacity());
    m_recentAsked += asked;
    m_earlierAsked += asked;
    m_lastAsked = asked > 0 ? now : m_lastAsked;
}

void QuotaBucket::approach(double balance)
{
    const double maximumDebt = std::max(minimumDebt, m_limit.requestsPerSecond * toSeconds(maximumDebtTime));
    m_balancesSeen = std::min(m_balancesSeen + 1, approachWeight);
    m_balance += (std::clamp(balance, -maximumDebt, capacity()) - m_balance) / (m_balancesSeen + 1);
}

void QuotaBucket::resetKnowledge()
{
    m_balance = std::min(m_balance, 1.0);
    m_balancesSeen = 0;
}

Duration QuotaBucket::timeUntilToken() const
{
    // Those refused in the last second wait as well.
    const double waiting = std::max(0.0, demand() - m_limit.requestsPerSecond);
    const double missing = std::max(0.0, 1 - m_balance) + waiting;
    return fromSeconds(missing / (m_limit.requestsPerSecond * m_share));
}

bool QuotaBucket::urgent(std::size_t instances) const
{
    const double unreported = static_cast<double>(m_own.admitted - m_reported);
    const double unknown = unreported * static_cast<double>(instances);
    return unknown > capacity() / 4 || m_balance < std::max(capacity() / 2, demand() * scarceSeconds);
}

QuotaItem QuotaBucket::takeItem(std::uint64_t key)
{
    m_reported = m_own.admitted;
    QuotaItem item = m_own;
    item.key = key;
    item.balance = m_balance;
    return item;
}

double QuotaBucket::balance() const
{
    return m_balance;
}

double QuotaBucket::demand() const
{
    return std::max(m_recentAsked / toSeconds(demandWindow), m_earlierAsked / toSeconds(earlierDemandWindow));
}

TimePoint QuotaBucket::lastAsked() const
{
    return m_lastAsked;
}

TimePoint QuotaBucket::changed() const
{
    return m_changed;
}

const QuotaLimit &QuotaBucket::limit() const
{
    return m_limit;
}

} // namespace jackdawdoor::limits
