/** Detection of requests that crash the upstreams that run them.
 *
 * An upstream counts as crashed by a request if it ended the connection, or did not answer in time, while it was running the
 * request, and its process had ended: it refused connections shortly afterwards, or its entry was replaced or removed. Other
 * requests that were in progress there are suspects as well; the first complete answer to one of them clears it.
 *
 * Crashes count only if they followed one another: the attempt at the next upstream began after the connection to the former
 * was lost, whichever instances ran them. Upstreams that end at the same time while they run a popular request are no evidence
 * against it.
 *
 * A request that has crashed several upstreams is refused for a time that doubles with each further crash. Then a single
 * attempt is allowed, so that a request that was in progress during unrelated crashes is not refused for long.
 *
 * Instances exchange their records. Merging is commutative and idempotent, so a lost, late or repeated record does no harm.
 */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::fleet {

/** A request is refused after crashes of this many upstreams, one after the other. */
constexpr std::size_t maximumCrashes = 2;

/** An attempt whose upstream crashed, as times before the message. */
struct CrashedAttempt {
    Duration begun{}; ///< since the attempt began
    Duration lost{}; ///< since the connection was lost

    bool operator==(const CrashedAttempt &) const = default;
};

/** Crashes by one request, as exchanged between instances. */
struct CrashRecord {
    std::uint64_t request = 0; ///< one identity of its fingerprint, see RequestFingerprint
    std::uint32_t clearances = 0; ///< the crashes are those since this clearance; a record with more of them is newer
    Duration age{}; ///< time since the last change
    std::vector<std::uint32_t> upstreams; ///< crashed upstreams, see upstreamKey
    /** Attempts by position in upstreams, or empty if none is known, as in records of earlier versions. */
    std::vector<std::optional<CrashedAttempt>> attempts = {};

    bool operator==(const CrashRecord &) const = default;
};

/** Crashes known to one instance. */
class CrashTracker
{
public:
    /** spread: from 0 to 1. The time for which this instance refuses a request grows by up to half with it, so that the
     * attempts that instances allow afterwards do not coincide. */
    explicit CrashTracker(double spread = 0);

    /** Records that the upstream left the request without an answer. begun: when the attempt began; if unknown, the attempt is
     * taken for one that followed all others. */
    void recordBrokenConnection(TimePoint now, std::uint64_t request, std::uint32_t upstream, std::optional<TimePoint> begun = {});

    /** Records that the upstream refuses connections. Returns the requests to which the crash is attributed. */
    std::vector<std::uint64_t> recordUnreachable(TimePoint now, std::uint32_t upstream);

    /** Records that the upstream's entry was replaced or removed. Returns the requests to which the crash is attributed. */
    std::vector<std::uint64_t> recordRemoved(TimePoint now, std::uint32_t upstream);

    /** Records that an upstream answered the request completely. Returns true if a crash was attributed to the request, so that
     * other instances should be told. */
    bool recordAnswer(TimePoint now, std::uint64_t request);

    /** Records an attempt of the request. If it was refused before, it is refused again for the same time. */
    void recordAttempt(TimePoint now, std::uint64_t request);

    /** Merges a record of another instance. Returns true if it contained something new. */
    bool merge(TimePoint now, const CrashRecord &record);

    /** Returns true if nothing is recorded, so that attempts and answers have no effect. */
    bool empty() const;

    /** Returns true if the request must not be run now. */
    bool refused(TimePoint now, std::uint64_t request) const;

    /** Returns the number of upstreams that the request is known to have crashed. */
    std::size_t crashes(std::uint64_t request) const;

    /** Returns the record of a request, or one without content. */
    CrashRecord record(TimePoint now, std::uint64_t request) const;

    /** Returns at most that many records: refused requests first, then the most recently changed. */
    std::vector<CrashRecord> records(TimePoint now, std::size_t maximum) const;

    /** Removes outdated records. */
    void expire(TimePoint now);

private:
    /** An attempt from its beginning to the loss of its connection. */
    struct Interval {
        TimePoint begun{};
        TimePoint lost{};
    };
    using KnownInterval = std::optional<Interval>;
    struct BrokenConnection {
        TimePoint at{};
        std::uint64_t request = 0;
        KnownInterval attempt;
    };
    struct Suspect {
        TimePoint changed{};
        TimePoint refusedUntil{};
        std::uint32_t clearances = 0;
        std::map<std::uint32_t, KnownInterval> upstreams; ///< with the attempt that the upstream left unanswered
        std::size_t successiveCrashes = 0; ///< longest chain of upstreams that crashed one after the other
    };

    std::vector<std::uint64_t> attribute(TimePoint now, std::uint32_t upstream, Duration window);
    static bool addCrash(Suspect &suspect, std::uint32_t upstream, const KnownInterval &attempt);
    static std::size_t countSuccessive(const std::map<std::uint32_t, KnownInterval> &upstreams);
    static bool isConsistent(const CrashRecord &record);
    static KnownInterval attemptOf(TimePoint now, const CrashRecord &record, std::size_t position);
    void onChange(TimePoint at, Suspect &suspect) const;
    Duration refusalTime(std::size_t crashes) const;
    void removeOldest();
    static CrashRecord toRecord(TimePoint now, std::uint64_t request, const Suspect &suspect);

    double m_spread;
    std::multimap<std::uint32_t, BrokenConnection> m_brokenConnections; ///< by upstream
    std::map<std::uint64_t, Suspect> m_suspects; ///< by request
};

} // namespace jackdawdoor::fleet
