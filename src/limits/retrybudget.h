/** Token bucket that limits the retries and hedges of one service on one instance. */
#pragma once

namespace jackdawdoor::limits {

/** Each original request deposits the ratio, each retry or hedge withdraws 1.
 *
 * A retry that fails withdraws once more: in a full outage every retry fails, and the second withdrawal uses up the
 * balance from before it, so that this does not add to the load of the outage.
 */
class RetryBudget
{
public:
    /** ratio: retries per original request. burst: largest balance, in retries. */
    RetryBudget(double ratio, double burst);

    void onOriginal();

    /** Withdraws one retry; returns false, and withdraws nothing, when the budget does not allow it. */
    bool tryRetry();

    /** A retry or hedge that was allowed ended in a failure. */
    void onRetryFailed();

    double balance() const;

private:
    double m_ratio;
    double m_burst;
    double m_balance = 0;
};

} // namespace jackdawdoor::limits
