#include "fleet/storereaderelection.h"

#include "base/stablehash.h"

#include <algorithm>

namespace jackdawdoor::fleet {

namespace {

constexpr const char *electionKey = "store-reader";
/** By then the instances have found each other through the seeds or the instance list. */
constexpr Duration fleetStartDelay = std::chrono::milliseconds{500};
/** Spreads the first reads of a starting fleet over many notices of its first readers. */
constexpr Duration fleetStartSpread = std::chrono::milliseconds{2500};
/** Ends before callers come. */
constexpr Duration fleetStartTime = std::chrono::seconds{6};

} // namespace

StoreReaderElection::StoreReaderElection(InstanceId self, DataCentreId dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void StoreReaderElection::advanceAsOf(TimePoint asOf)
{
    m_asOf = std::max(m_asOf, asOf);
}

void StoreReaderElection::beginFleetStart(TimePoint now, double random)
{
    m_electionAt = now + fleetStartDelay;
    m_firstReadAt = m_electionAt + fromSeconds(toSeconds(fleetStartSpread) * random);
    m_fleetStartEnd = now + fleetStartTime;
}

void StoreReaderElection::recordRead(TimePoint now)
{
    m_lastRead = now;
}

bool StoreReaderElection::isReader(const membership::MembershipView &view) const
{
    const std::uint64_t own = rendezvousWeight(electionKey, m_self.value);
    for (const membership::Member *member : view.live()) {
        const bool otherCandidate = member->dataCentre == m_dataCentre && member->ref.id != m_self;
        if (otherCandidate && rendezvousWeight(electionKey, member->ref.id.value) > own) {
            return false;
        }
    }
    return true;
}

bool StoreReaderElection::shouldRead(TimePoint now, const membership::MembershipView &view) const
{
    if (now - m_lastRead < readPeriod || now < m_electionAt) {
        return false;
    }
    // The others wait for the elected reader, so it must not wait itself.
    if (isReader(view)) {
        return true;
    }
    const bool first = m_asOf == TimePoint{};
    return first ? now >= m_firstReadAt : age(now) > maximumStaleness && now >= m_fleetStartEnd;
}

Duration StoreReaderElection::age(TimePoint now) const
{
    return now - m_asOf;
}

} // namespace jackdawdoor::fleet
