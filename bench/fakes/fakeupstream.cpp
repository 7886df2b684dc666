#include "fakes/fakeupstream.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::fakes {

Duration FakeUpstream::latency(RandomSource &random) const
{
    std::normal_distribution<double> normal{0, behaviour.latencySpread};
    const double load = std::max(1.0, static_cast<double>(running) / slots);
    const double factor = behaviour.slowFactor * load * std::exp(normal(random));
    return Duration{static_cast<Duration::rep>(static_cast<double>(behaviour.medianLatency.count()) * factor)};
}

UpstreamAnswer FakeUpstream::accept(TimePoint now, const std::string &key, std::uint64_t fingerprint, RandomSource &random)
{
    UpstreamAnswer answer;
    lastReceived = now;
    ++received;
    if (behaviour.refusesConnections || now < downUntil) {
        answer.end = core::AttemptEnd::ConnectFailed;
        answer.head = false;
        answer.ran = false;
        return answer;
    }
    ++running;
    peakRunning = std::max(peakRunning, running);
    if (behaviour.shedsWhenFull && running > slots) {
        answer.status = 503;
        answer.shed = true;
        answer.ran = false;
        answer.latency = std::chrono::milliseconds{1};
        return answer;
    }
    if (!key.empty() && runs != nullptr) {
        ++(*runs)[key];
    }
    answer.latency = latency(random);
    if (crashers != nullptr && crashers->count(fingerprint) > 0) {
        ++crashes;
        downUntil = now + restartTime;
        answer.end = core::AttemptEnd::Reset;
        answer.head = false;
        answer.latency = std::chrono::milliseconds{2};
        return answer;
    }
    const double draw = uniform(random);
    if (draw < behaviour.hangShare) {
        answer.end = core::AttemptEnd::Timeout;
        answer.head = false;
    } else if (draw < behaviour.hangShare + behaviour.errorShare) {
        answer.status = 500;
        answer.latency = Duration{static_cast<Duration::rep>(static_cast<double>(answer.latency.count()) * behaviour.errorLatencyFactor)};
    } else if (draw < behaviour.hangShare + behaviour.errorShare + behaviour.wrongShare) {
        answer.stale = true;
    } else if (draw < behaviour.hangShare + behaviour.errorShare + behaviour.wrongShare + behaviour.shortShare) {
        answer.end = core::AttemptEnd::ShortBody;
    }
    return answer;
}

void FakeUpstream::release()
{
    --running;
}

} // namespace jackdawdoor::fakes
