#include "configuration/logreader.h"

#include "base/stablehash.h"

#include <algorithm>

namespace jackdawdoor::configuration {

using membership::Member;
using membership::MembershipView;
using membership::MemberState;

namespace {

constexpr std::string_view readerKey = "log-reader";
constexpr Duration firstBackoff = std::chrono::seconds{1};
constexpr int maximumDoublings = 5;

} // namespace

LogReader::LogReader(InstanceId self, RandomSource &random)
    : m_self(std::move(self))
    , m_random(random)
{
}

std::optional<LogRead> LogReader::onTick(TimePoint now, const MembershipView &view, Offset next, bool complete)
{
    if (!m_firstTick) {
        m_firstTick = now;
    }
    if (!m_started) {
        m_started = mayStart(now, view, complete);
        m_nextRead = now;
    }
    if (m_rankedEpoch != view.epoch) {
        m_rankedEpoch = view.epoch;
        m_frequent = isFrequent(view);
        if (m_frequent) {
            m_nextRead = std::min(m_nextRead, now + jittered(m_failures > 0 ? firstBackoff : frequentReadInterval));
        }
    }
    if (m_readSentAt && now - *m_readSentAt >= readTimeout) {
        onFailed(now);
    }
    if (!m_started || m_readSentAt || now < m_nextRead) {
        return std::nullopt;
    }
    m_readSentAt = now;
    return LogRead{next, recordsPerPage};
}

bool LogReader::mayStart(TimePoint now, const MembershipView &view, bool complete)
{
    const bool alone = std::none_of(view.members.begin(), view.members.end(), [&view](const Member &member) {
        return member.ref.id != view.self.id && member.state != MemberState::Failed;
    });
    const Duration waited = std::chrono::duration_cast<Duration>(now - *m_firstTick);
    return complete || waited >= peerStateTimeout || (alone && waited >= noPeersTimeout);
}

void LogReader::onPage(TimePoint now, const LogPage &page)
{
    m_readSentAt.reset();
    m_failures = 0;
    if (!page.entries.empty()) {
        m_nextRead = now + jittered(meanPageInterval);
        return;
    }
    m_reachedEndAt = now;
    m_nextRead = now + (m_frequent ? frequentReadInterval : jittered(rareReadInterval));
}

void LogReader::onFailed(TimePoint now)
{
    m_readSentAt.reset();
    const Duration backoff = firstBackoff * (1 << std::min(m_failures, maximumDoublings));
    m_nextRead = now + jittered(std::min(backoff, m_frequent ? rareReadInterval : maximumBackoff));
    ++m_failures;
}

bool LogReader::isCurrent(TimePoint now) const
{
    return m_reachedEndAt && now - *m_reachedEndAt <= 3 * rareReadInterval;
}

bool LogReader::isFrequent(const MembershipView &view)
{
    const Member *self = view.find(m_self);
    if (self == nullptr || self->state != MemberState::Live) {
        return false;
    }
    const std::uint64_t own = rendezvousWeight(readerKey, m_self.value);
    const auto ahead = std::count_if(view.members.begin(), view.members.end(), [&](const Member &member) {
        return member.state == MemberState::Live && member.dataCentre == self->dataCentre
               && rendezvousWeight(readerKey, member.ref.id.value) > own;
    });
    return static_cast<std::size_t>(ahead) < frequentReaders;
}

/** Random time between 0.5 and 1.5 times the average. */
Duration LogReader::jittered(Duration average)
{
    return fromSeconds(toSeconds(average) * (0.5 + uniform(m_random)));
}

} // namespace jackdawdoor::configuration
