#include "membership/departureannouncement.h"

namespace jackdawdoor::membership {

void DepartureAnnouncement::begin(TimePoint now, const std::vector<InstanceRef> &members)
{
    m_receivers.clear();
    for (const InstanceRef &member : members) {
        m_receivers[member.id] = {member, now, 0};
    }
}

void DepartureAnnouncement::acknowledge(const InstanceId &member)
{
    m_receivers.erase(member);
}

std::vector<InstanceRef> DepartureAnnouncement::due(TimePoint now)
{
    std::vector<InstanceRef> told;
    for (auto entry = m_receivers.begin(); entry != m_receivers.end() && told.size() < maximumDepartureBatch;) {
        Receiver &receiver = entry->second;
        if (now >= receiver.nextAt) {
            told.push_back(receiver.ref);
            receiver.nextAt = now + departureRepeatPeriod;
            ++receiver.sent;
        }
        entry = receiver.sent >= maximumDepartureMessages ? m_receivers.erase(entry) : std::next(entry);
    }
    return told;
}

} // namespace jackdawdoor::membership
