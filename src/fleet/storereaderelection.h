/** Election of the instances that read the platform's store.
 *
 * In each data centre, the live instance with the highest rendezvous weight reads the store and notifies the others of
 * changes. An instance whose copy becomes too old reads the store itself. This covers a failed reader, a network partition
 * and a store that is reachable from some instances only.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/membershipview.h"

namespace jackdawdoor::fleet {

/** Interval between reads by the same instance. A change reaches all instances within this time plus one notice delay. */
constexpr Duration readPeriod = std::chrono::milliseconds{400};
/** An instance with an older copy reads the store itself. Tolerates two missed reads or their notices. */
constexpr Duration maximumStaleness = std::chrono::milliseconds{1300};
/** An instance with an older copy has found neither the store nor a reader, and asks the other instances for theirs. */
constexpr Duration isolatedStaleness = 2 * maximumStaleness;

/** Decides when one instance reads the store. */
class StoreReaderElection
{
public:
    StoreReaderElection(InstanceId self, DataCentreId dataCentre);

    /** All instances of the fleet start at about this time, and callers come some seconds later. Until then instances that are
     * not elected leave the store to the reader, which is busy serving copies: they read only once, and only if no copy has
     * arrived for some time. random: between 0 and 1, so that few of them do so at the same time. */
    void beginFleetStart(TimePoint now, double random);

    /** Records that this instance's copy was complete as of that time. Times earlier than the recorded one are ignored. */
    void advanceAsOf(TimePoint asOf);

    /** Records the start of a read by this instance. */
    void recordRead(TimePoint now);

    /** Returns true if this instance should read the store now. */
    bool shouldRead(TimePoint now, const membership::MembershipView &view) const;

    /** Returns true if this instance is the reader of its data centre. */
    bool isReader(const membership::MembershipView &view) const;

    /** Returns the age of this instance's copy; the time since the epoch if there is none. */
    Duration age(TimePoint now) const;

private:
    InstanceId m_self;
    DataCentreId m_dataCentre;
    TimePoint m_asOf{};
    TimePoint m_lastRead{};
    TimePoint m_electionAt{}; ///< before, too few other instances are known
    TimePoint m_firstReadAt{};
    TimePoint m_fleetStartEnd{};
};

} // namespace jackdawdoor::fleet
