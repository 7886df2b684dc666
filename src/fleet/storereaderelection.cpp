#include "fleet/storereaderelection.h"

#include "base/stablehash.h"

#include <algorithm>

namespace jackdawdoor::fleet {

namespace {

constexpr const char *electionKey = "store-reader";

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
    if (now - m_lastRead < readPeriod) {
        return false;
    }
    return age(now) > maximumStaleness || isReader(view);
}

Duration StoreReaderElection::age(TimePoint now) const
{
    return now - m_asOf;
}

} // namespace jackdawdoor::fleet
