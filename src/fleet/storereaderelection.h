/** Which instances read the platform's store, and how old the knowledge of this one is.
 *
 * In each data centre the live instance ranked first reads for all; the others learn of changes by its notices. An
 * instance whose knowledge grows older than a limit reads for itself, whatever the reason: a reader that died, a cut
 * between instances, or a store that serves only some of them.
 */
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/membershipview.h"

namespace jackdawdoor::fleet {

/** Time between two readings by an instance that reads. A change reaches everyone in this time and a notice's. */
constexpr Duration readPeriod = std::chrono::milliseconds{400};
/** Knowledge older than this makes any instance read for itself; two readings and their notices may be missed. */
constexpr Duration maximumStaleness = std::chrono::milliseconds{1300};

/** Decides for one instance. */
class StoreReaderElection
{
public:
    StoreReaderElection(InstanceId self, DataCentreId dataCentre);

    /** What this instance knows was complete at that time. Earlier times than known are ignored. */
    void advanceAsOf(TimePoint asOf);

    /** A reading by this instance began. */
    void recordRead(TimePoint now);

    /** True when this instance should read now. */
    bool shouldRead(TimePoint now, const membership::MembershipView &view) const;

    /** True when this instance reads for its data centre. */
    bool isReader(const membership::MembershipView &view) const;

    /** Age of the knowledge; the time since the epoch when there is none. */
    Duration age(TimePoint now) const;

private:
    InstanceId m_self;
    DataCentreId m_dataCentre;
    TimePoint m_asOf{};
    TimePoint m_lastRead{};
};

} // namespace jackdawdoor::fleet
