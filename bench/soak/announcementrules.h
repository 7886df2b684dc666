/** Checks whether instances obey what upstreams announce in their answers, from what callers and upstreams observe.
 *
 * Each check is given the present time and what happened, so that tests can show that it fails. An instance that was started
 * or paused since an announcement is excused.
 */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace jackdawdoor::soak {

/** One life of an instance: it ends with its process and with each pause. */
struct InstanceLife {
    std::size_t instance = 0;
    int life = 0;

    bool operator==(const InstanceLife &) const = default;
    bool operator<(const InstanceLife &other) const
    {
        return std::tie(instance, life) < std::tie(other.instance, other.life);
    }
};

/** One process of an upstream. */
struct UpstreamLife {
    std::string upstream;
    std::int64_t born = 0;

    bool operator==(const UpstreamLife &) const = default;
    bool operator<(const UpstreamLife &other) const
    {
        return std::tie(upstream, born) < std::tie(other.upstream, other.born);
    }
};

/** Requests sent later than this after an instance has passed on that an upstream leaves must not reach it. */
constexpr Duration leavingBound = std::chrono::seconds{2};
/** Requests may reach an upstream for this long after it has asked for a rest, because they were on their way. */
constexpr Duration restReactionTime = std::chrono::milliseconds{500};
/** Requests of one instance that may reach an upstream during the rest of its time. */
constexpr int allowedDuringRest = 2;

/** Observations of one run. Thread-safe. */
class AnnouncementRules
{
public:
    /** A caller got an answer that says that the upstream leaves. */
    void leavingPassedOn(TimePoint now, const InstanceLife &by, const UpstreamLife &upstream);

    /** The upstream is about to answer the instance with a rejection that asks for a rest. */
    void restAsked(TimePoint now, const InstanceLife &of, const UpstreamLife &upstream, Duration rest);

    /** A request that its caller sent at that time reaches the upstream. Returns a text for each broken rule. */
    std::vector<std::string> arrived(TimePoint now, TimePoint sent, const InstanceLife &from, const UpstreamLife &upstream);

private:
    struct Rest {
        TimePoint begin{};
        TimePoint end{};
        int arrivals = 0; ///< after the reaction time
    };
    using Pair = std::pair<InstanceLife, UpstreamLife>;

    std::mutex m_mutex;
    std::map<Pair, TimePoint> m_leaving; ///< first answer that said so
    std::map<Pair, std::vector<Rest>> m_rests;
};

} // namespace jackdawdoor::soak
