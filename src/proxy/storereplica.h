/** Keeps an instance's copy of the store's contents current.
 *
 * An instance reads the store itself when it is a reader or its knowledge has grown old (fleet::ReaderDuty); otherwise
 * it learns from a reader's notice that something has changed and fetches the change from that reader. A configuration
 * is taken only if its version is higher than the one in force, whatever way it came.
 */
#pragma once

#include "fleet/fleetmessage.h"
#include "fleet/readerduty.h"
#include "fleet/upstreamcatalogue.h"
#include "membership/membershipview.h"
#include "net/eventloop.h"
#include "proxy/storeaccess.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdawdoor::proxy {

/** What the owner is told. */
struct StoreReplicaHooks {
    std::function<void(const routing::RouteTablePointer &)> onConfiguration; ///< a higher version is in force
    std::function<void()> onUpstreams; ///< the catalogue has changed
    std::function<void(const fleet::UpstreamDelta &)> onDelta; ///< a reading of the store has changed the catalogue so
};

/** Configuration and upstreams of one instance. Used on one loop. */
class StoreReplica
{
public:
    StoreReplica(net::EventLoop &loop, StoreAccess access, InstanceId self, DataCentreId dataCentre, StoreReplicaHooks hooks);

    /** Starts a reading when one is due. */
    void tick(TimePoint now, const membership::MembershipView &view);

    /** A reader says what it knows. stateAddress: where its copy can be fetched. */
    void onNotice(TimePoint now, const fleet::StoreNotice &notice, const settings::Endpoint &stateAddress);

    /** A reader says what has changed. */
    void applyDelta(const fleet::UpstreamDelta &delta);

    /** What this instance knows, for others. */
    fleet::StoreNotice notice(TimePoint now) const;

    /** True when this instance read the store itself lately, so that others may rely on its notices. */
    bool readsStore(TimePoint now) const;

    /** Copy of what the other one lacks, for its fetch. */
    std::string exportState(std::uint64_t configurationVersion, std::uint64_t catalogue, TimePoint now);

    /** Age of the knowledge. */
    Duration age(TimePoint now) const;

    const fleet::UpstreamCatalogue &catalogue() const;

    /** A configuration is in force. */
    bool ready() const;

private:
    /** Contents of an exported copy: version and fingerprint, zero for a part that is left out. */
    struct StateKey {
        std::uint64_t configurationVersion = 0;
        std::uint64_t catalogue = 0;

        bool operator==(const StateKey &) const = default;
    };
    struct ExportedState {
        StateKey key;
        TimePoint at{};
        std::string bytes;
    };

    void read(TimePoint now);
    void applyConfiguration(const std::string &text, const char *source);
    void applyUpstreams(const UpstreamUpdate &reading);
    void onReadEnd(TimePoint began, bool succeeded, const Error *error);
    void fetchState(const settings::Endpoint &from);
    void importState(std::string_view compressed, TimePoint asked);
    void publishCatalogue();

    net::EventLoop &m_loop;
    StoreAccess m_access;
    fleet::ReaderDuty m_readSchedule;
    StoreReplicaHooks m_hooks;
    routing::RouteTablePointer m_table;
    std::string m_configurationText;
    fleet::UpstreamCatalogue m_catalogue;
    std::uint64_t m_fingerprint = 0;
    StoreOffset m_configurationNext = 0;
    StoreOffset m_upstreamsNext = 0;
    bool m_configurationPending = false;
    std::uint64_t m_configurationReadGeneration = 0;
    bool m_upstreamsPending = false;
    bool m_fetching = false;
    bool m_storeReachable = true;
    int m_failures = 0;
    TimePoint m_retryAt{};
    TimePoint m_lastRead{};
    TimePoint m_configurationAsked{};
    ExportedState m_exported;
};

} // namespace jackdawdoor::proxy
