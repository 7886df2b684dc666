/** Schedules when an instance reads the log. */
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "configuration/logpage.h"
#include "membership/membershipview.h"

#include <optional>

namespace jackdawdoor::configuration {

/** Number of instances per data centre that read the log at the frequent interval; the others get new versions from them. */
constexpr std::size_t frequentReaders = 2;
constexpr Duration frequentReadInterval = std::chrono::milliseconds{500};
constexpr Duration rareReadInterval = std::chrono::seconds{5};
/** A read without an answer counts as failed after this time. */
constexpr Duration readTimeout = std::chrono::seconds{5};
/** Maximum of the exponential backoff after failed reads. With jitter it avoids overloading the log when it recovers.
 * Frequent readers back off to rareReadInterval only, so that publishes are in force within seconds of the recovery. */
constexpr Duration maximumBackoff = std::chrono::seconds{30};
/** Mean time between two pages while catching up. */
constexpr Duration meanPageInterval = std::chrono::milliseconds{50};
constexpr std::uint32_t recordsPerPage = 200;
/** A starting instance waits this long for its peers to supply the state, which saves reading the whole retained log. */
constexpr Duration peerStateTimeout = std::chrono::seconds{5};
/** Wait of a starting instance that knows no peer. */
constexpr Duration noPeersTimeout = std::chrono::seconds{1};

/** Read schedule of one instance; at most one read is in flight. */
class LogReader
{
public:
    LogReader(InstanceId self, RandomSource &random);

    /** Returns the read to make now, if any. `complete`: peers have supplied the state. */
    std::optional<LogRead> onTick(TimePoint now, const membership::MembershipView &view, Offset next, bool complete);

    /** Handles a page; further pages are read after meanPageInterval unless it was empty. */
    void onPage(TimePoint now, const LogPage &page);

    void onFailed(TimePoint now);

    /** True when the end of the log was reached within the last three rare read intervals. */
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
