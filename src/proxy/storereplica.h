/** Keeps an instance's replica of the store's contents up to date.
 *
 * An instance reads the store itself when it is a reader or its replica is stale (fleet::StoreReaderElection). Otherwise a reader's
 * notice tells it that something changed, and it fetches the change from that reader. A configuration from either source is
 * applied only if its version is higher than the one in force.
 *
 * When the store was restored from a copy, offsets of its former history mean nothing any more: the next read is a full one.
 */
#pragma once

#include "fleet/fleetmessage.h"
#include "fleet/storereaderelection.h"
#include "fleet/upstreamcatalogue.h"
#include "membership/membershipview.h"
#include "net/eventloop.h"
#include "proxy/storeaccess.h"
#include "proxy/storeread.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdawdoor::proxy {

/** Callbacks to the owner. */
struct StoreReplicaHooks {
    std::function<void(const routing::RouteTablePointer &)> onConfiguration; ///< a higher version is in force
    std::function<void()> onUpstreams; ///< the catalogue has changed
    std::function<void(const fleet::UpstreamDelta &)> onDelta; ///< changes found by a read of the store, for other instances
    std::function<void()> onRestored; ///< the store was restored from a copy, so what this instance wrote there may be lost
};

/** Configuration and upstreams of one instance. Used on one loop. */
class StoreReplica
{
public:
    StoreReplica(net::EventLoop &loop, StoreAccess access, InstanceId self, DataCentreId dataCentre, StoreReplicaHooks hooks);

    /** All instances start at about this time; see fleet::StoreReaderElection. */
    void beginFleetStart(TimePoint now, double random);

    /** Starts a read of the store when one is due. */
    void tick(TimePoint now, const membership::MembershipView &view);

    /** Handles a reader's notice. stateAddress is where the reader's state can be fetched. */
    void onNotice(TimePoint now, const fleet::StoreNotice &notice, const settings::Endpoint &stateAddress);

    /** Applies a reader's incremental changes. */
    void applyDelta(const fleet::UpstreamDelta &delta);

    /** Notice of the state of this replica, for the other instances. */
    fleet::StoreNotice notice(TimePoint now) const;

    /** True when this instance has no configuration, or hears neither from the store nor from a reader, so that its notices ask other
     * instances for what they know. */
    bool needsPeers(TimePoint now) const;

    /** True when a notice comes from an instance that needs peers, and this replica is newer than the sender's. */
    bool canHelp(TimePoint now, const fleet::StoreNotice &notice) const;

    /** True when this instance read the store itself recently, so that its notices are current. */
    bool readsStore(TimePoint now) const;

    /** Compressed state that a peer with this configuration version and catalogue fingerprint lacks. */
    std::string exportState(std::uint64_t configurationVersion, std::uint64_t catalogue, TimePoint now);

    /** Applies a state that another instance exported. */
    void importState(std::string_view compressed, TimePoint requestedAt);

    /** Age of the replica. */
    Duration age(TimePoint now) const;

    const fleet::UpstreamCatalogue &catalogue() const;

    /** True when a configuration is in force. */
    bool ready() const;

private:
    /** Version and fingerprint of an exported state; zero for an omitted part. */
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
    void readUpstreams(TimePoint now, const fleet::StorePosition &from);
    void readConfiguration(TimePoint now, const fleet::StorePosition &from, Duration wait);
    void onUpstreamsRead(StoreRead::Number read, TimePoint beginTime, const fleet::StorePosition &from, const UpstreamUpdate &update);
    void onUpstreamsFailed(StoreRead::Number read, TimePoint beginTime, const Error &error);
    void
    onConfigurationRead(StoreRead::Number read, TimePoint beginTime, const fleet::StorePosition &from, const ConfigurationUpdate &update);
    bool observeHistory(TimePoint beginTime, const std::optional<fleet::StoreHistoryNumber> &stated);
    void noteRestoration(const std::optional<fleet::StoreHistoryNumber> &stated, const char *source);
    bool applyAllUpstreams(const UpstreamUpdate &update);
    fleet::UpstreamDelta applyChangedUpstreams(const std::vector<UpstreamChange> &changes, bool &changed);
    void applyConfiguration(const std::string &text, const char *source);
    void applyHighest(const std::vector<std::string> &texts);
    void applyUpstreams(const UpstreamUpdate &update);
    void fetchState(const settings::Endpoint &from);
    bool importUpstreams(const nlohmann::json &state, bool isCurrent);
    void publishCatalogue(bool changed);

    net::EventLoop &m_loop;
    StoreAccess m_access;
    fleet::StoreReaderElection m_readSchedule;
    StoreReplicaHooks m_hooks;
    routing::RouteTablePointer m_table;
    std::string m_configurationText;
    fleet::UpstreamCatalogue m_catalogue;
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_publishedRevision = 0; ///< of the catalogue, to which the fingerprint belongs
    fleet::StoreHistory m_history;
    fleet::StorePosition m_configurationNext;
    fleet::StorePosition m_upstreamsNext; ///< the catalogue holds all records before it
    StoreRead m_configurationRead;
    StoreRead m_upstreamsRead;
    bool m_fetching = false;
    bool m_upstreamsReadable = true; ///< the last read of them succeeded
    TimePoint m_lastRead{}; ///< of the upstreams, successful
    ExportedState m_exported;
};

} // namespace jackdawdoor::proxy
