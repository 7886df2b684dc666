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
/** A reader sends four notices in a second. */
constexpr Duration recentNotice = std::chrono::milliseconds{1000};

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
    m_firstReadAt = now + fleetStartDelay + fromSeconds(toSeconds(fleetStartSpread) * random);
    m_fleetStartEnd = now + fleetStartTime;
}

void StoreReaderElection::recordNotice(TimePoint now)
{
    m_lastNotice = now;
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
    const bool first = m_asOf == TimePoint{};
    if (now - m_lastRead < readPeriod || (first && now < m_firstReadAt)) {
        return false;
    }
    return isReader(view) || (age(now) > maximumStaleness && !waitsForCopy(now));
}

bool StoreReaderElection::waitsForCopy(TimePoint now) const
{
    return now < m_fleetStartEnd && now - m_lastNotice < recentNotice;
}

Duration StoreReaderElection::age(TimePoint now) const
{
    return now - m_asOf;
}

} // namespace jackdawdoor::fleet
