/** One instance of the proxy fleet: connects the proxy with the platform's store and with the other instances. */
#pragma once

#include "base/error.h"
#include "fleet/noticequeue.h"
#include "membership/membership.h"
#include "net/eventloop.h"
#include "placement/placementtable.h"
#include "proxy/datagramsocket.h"
#include "proxy/instanceserver.h"
#include "proxy/proxyserver.h"
#include "proxy/proxysettings.h"
#include "proxy/storereplica.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::proxy {

/** Addresses where a caller should connect. */
struct DirectoryAnswer {
    std::vector<std::string> addresses;
    Duration ttl{}; ///< how long callers may cache the answer
};

/** The parts of a stop that belong to the owner of the instance. */
struct StopHooks {
    std::function<void()> closeServers; ///< the callers have their answers: stop the owner's servers
    std::function<std::size_t(TimePoint now)> undeliveredAnswers; ///< of the owner's servers
    std::function<void()> onStopped;
};

/** An instance. Created, used and destroyed on its loop's thread. */
class Gateway
{
public:
    Gateway(net::EventLoop &loop, ProxySettings settings, UpstreamProtocol protocol, Incarnation incarnation);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Starts to listen and to serve. access must stay valid as long as this object. */
    Result<bool> start(StoreAccess access);

    /** Applies changed settings, except for the addresses on which this process listens. */
    void reload(const ProxySettings &settings);

    /** Begins a graceful stop: leaves the membership, drains the requests in progress, waits until the answers of all servers are
     * delivered, then calls onStopped. A second call has no effect. */
    void beginStop(StopHooks hooks);

    /** True when a configuration is in force and the process is not stopping. */
    bool ready() const;

    /** Instances to which callers in the data centre should connect for a host. */
    DirectoryAnswer addressesFor(const std::string &host, const DataCentreId &dataCentre);

    /** Version of the configuration in force; zero before the first. */
    std::uint64_t configurationVersion() const;

    /** Upstreams known from the store. */
    std::vector<fleet::UpstreamEntry> upstreams() const;

    ProxyMetrics &metrics();

private:
    void applyLimits(const ProxySettings &settings);
    void tick();
    void advanceStop(TimePoint now);
    std::size_t undeliveredAnswers(TimePoint now) const;
    void sendReports(TimePoint now);
    bool updateServing(const std::vector<fleet::DemandItem> &demand);
    void send(const InstanceRef &to, const fleet::FleetMessage &message);
    void sendToAddress(const std::string &address, const fleet::FleetMessage &message);
    void sendToMembers(const fleet::FleetMessage &message, const std::function<bool(const membership::Member &)> &wanted);
    void broadcast(const fleet::FleetMessage &message);
    void sendToReporters(const std::vector<InstanceId> &reporters, const fleet::FleetMessage &message);
    void sendToRandom(const fleet::FleetMessage &message);
    void reportEvents(const fleet::NoticeItem &item);
    void scheduleNotices(TimePoint now);
    void sendNotices(TimePoint now);
    void broadcastToOthers(const fleet::FleetMessage &message);
    void sendInDataCentre(const fleet::FleetMessage &message);
    void answerNotice(TimePoint now, const InstanceRef &from, const fleet::StoreNotice &notice);
    void shareDelta(const fleet::UpstreamDelta &delta);
    void sendMembership(const membership::MembershipMessages &messages);
    void receive(std::string_view bytes);
    void dispatch(const fleet::FleetDatagram &datagram);
    void logSendFailures();
    void registerSelf();
    void onStoreRestored();
    void readInstanceList();
    void supersedePreviousIncarnation();
    void contactSeeds(TimePoint now);
    CallAnswer answerPeer(const std::string &target);
    CallAnswer answerMetrics();

    net::EventLoop &m_loop;
    ProxySettings m_settings;
    RequestContext m_context;
    ProxyServer m_proxy;
    DatagramSocket m_datagrams;
    membership::Membership m_membership;
    placement::PlacementTable m_placement;
    std::unique_ptr<StoreReplica> m_storeReplica;
    StoreAccess m_access;
    InstanceServer m_peerServer;
    InstanceServer m_metricsServer;
    net::Timer m_timer;
    double m_recentRequests = 0; ///< requests of callers, exponentially decaying
    std::map<InstanceId, TimePoint> m_servingInstances; ///< time of the last load report of each serving instance
    fleet::NoticeQueue m_servingNotices; ///< for the instances that serve requests
    fleet::NoticeQueue m_otherNotices; ///< for the rest
    net::Timer m_noticeTimer;
    TimePoint m_nextReport{};
    TimePoint m_nextBroadcast{};
    TimePoint m_nextNotice{};
    TimePoint m_nextNoticeAnswer{};
    TimePoint m_nextPrune{};
    TimePoint m_nextRegistration{};
    TimePoint m_nextInstanceList{};
    TimePoint m_nextSeedContact{};
    TimePoint m_stopBegin{};
    bool m_registered = false;
    int m_restorations = 0; ///< of the store; a registration from before one does not count
    bool m_serving = false; ///< callers use this instance, by its last load report
    std::uint64_t m_loggedSendFailures = 0;
    std::optional<StopHooks> m_stop; ///< since the stop began
};

} // namespace jackdawdoor::proxy
