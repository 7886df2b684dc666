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

void StoreReaderElection::noteKnowledge(TimePoint asOf)
{
    m_asOf = std::max(m_asOf, asOf);
}

void StoreReaderElection::noteReading(TimePoint now)
{
    m_lastReading = now;
}

bool StoreReaderElection::isReader(const membership::MembershipView &view) const
{
    const std::uint64_t own = rendezvousWeight(electionKey, m_self.value);
    for (const membership::Member *member : view.live()) {
        const bool rival = member->dataCentre == m_dataCentre && member->ref.id != m_self;
        if (rival && rendezvousWeight(electionKey, member->ref.id.value) > own) {
            return false;
        }
    }
    return true;
}

bool StoreReaderElection::shouldRead(TimePoint now, const membership::MembershipView &view) const
{
    if (now - m_lastReading < readPeriod) {
        return false;
    }
    return age(now) > maximumAge || isReader(view);
}

Duration StoreReaderElection::age(TimePoint now) const
{
    return now - m_asOf;
}

} // namespace jackdawdoor::fleet
