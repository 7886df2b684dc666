#include "fleet/readerduty.h"

#include "base/stablehash.h"

#include <algorithm>

namespace jackdawdoor::fleet {

namespace {

constexpr const char *duty = "store-reader";

} // namespace

ReaderDuty::ReaderDuty(InstanceId self, DataCentreId dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void ReaderDuty::noteKnowledge(TimePoint asOf)
{
    m_asOf = std::max(m_asOf, asOf);
}

void ReaderDuty::noteReading(TimePoint now)
{
    m_lastReading = now;
}

bool ReaderDuty::isReader(const membership::MembershipView &view) const
{
    const std::uint64_t own = rendezvousWeight(duty, m_self.value);
    for (const membership::Member *member : view.live()) {
        const bool rival = member->dataCentre == m_dataCentre && member->ref.id != m_self;
        if (rival && rendezvousWeight(duty, member->ref.id.value) > own) {
            return false;
        }
    }
    return true;
}

bool ReaderDuty::shouldRead(TimePoint now, const membership::MembershipView &view) const
{
    if (now - m_lastReading < readPeriod) {
        return false;
    }
    return age(now) > maximumAge || isReader(view);
}

Duration ReaderDuty::age(TimePoint now) const
{
    return now - m_asOf;
}

} // namespace jackdawdoor::fleet
