/** Decides when an instance reads the log. */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "configuration/logpage.h"
#include "membership/membershipview.h"

#include <optional>

namespace jackdawdoor::configuration {

/** Instances of each data centre that read the log often; the others hear from them. */
constexpr std::size_t frequentReaders = 2;
constexpr Duration frequentReadInterval = std::chrono::milliseconds{500};
constexpr Duration rareReadInterval = std::chrono::seconds{5};
/** A read without an answer counts as failed after this time. */
constexpr Duration readTimeout = std::chrono::seconds{5};
/** After failures the time between reads doubles up to this, with jitter, so that the log isn't overrun when it comes
 * back; frequent readers stay at rareReadInterval, so that publishes are in force within seconds of its return. */
constexpr Duration maximumBackoff = std::chrono::seconds{30};
/** Average time between two pages while catching up. */
constexpr Duration meanPageInterval = std::chrono::milliseconds{50};
constexpr std::uint32_t recordsPerPage = 200;
/** A starting instance gives its peers this time to supply the state, which saves reading the whole retained log. */
constexpr Duration peerStateTimeout = std::chrono::seconds{5};
/** Without any peer in sight it waits this long only. */
constexpr Duration noPeersTimeout = std::chrono::seconds{1};

/** Read schedule of one instance; at most one read is under way. */
class LogReader
{
public:
    LogReader(InstanceId self, RandomSource &random);

    /** The read to make now, if any. `complete` tells that peers have supplied the state. */
    std::optional<LogRead> onTick(TimePoint now, const membership::MembershipView &view, Offset next, bool complete);

    /** A page arrived; more pages are read at once unless it was empty. */
    void onPage(TimePoint now, const LogPage &page);

    void onFailed(TimePoint now);

    /** True when the end of the log was reached a short time ago. */
    bool isCurrent(TimePoint now) const;

private:
    bool mayStart(TimePoint now, const membership::MembershipView &view, bool complete);
    bool isFrequent(const membership::MembershipView &view);
    Duration jittered(Duration average);

    InstanceId m_self;
    RandomSource &m_random;
    std::optional<TimePoint> m_firstTick;
    std::optional<TimePoint> m_readSentAt;
    std::optional<TimePoint> m_reachedEndAt;
    TimePoint m_nextRead;
    bool m_started = false;
    bool m_frequent = false;
    std::uint64_t m_rankedEpoch = 0;
    int m_failures = 0;
};

} // namespace jackdawdoor::configuration
