/** Proxy instance in the test process, on its own loopback ports. */
#pragma once

#include "platform/platformserver.h"
#include "platform/storeclient.h"
#include "proxy/gateway.h"
#include "standins/platformstore.h"
#include "standins/scriptedupstream.h"

#include <atomic>
#include <memory>
#include <string>

namespace jackdawdoor::standins {

/** Options of one instance. */
struct ProxyInstanceOptions {
    std::string name = "edge-1";
    std::vector<settings::Endpoint> seeds = {};
    Incarnation incarnation = 0; ///< zero: from the clock
    bool fleetStarts = false; ///< the setting of the same name
};

/** Runs the components of the command `proxy` on a thread. */
class ProxyInstance
{
public:
    explicit ProxyInstance(PlatformStore &store, const ProxyInstanceOptions &options = {});
    ~ProxyInstance();
    ProxyInstance(const ProxyInstance &) = delete;
    ProxyInstance &operator=(const ProxyInstance &) = delete;

    int callersPort() const;
    int directoryPort() const;
    int readinessPort() const;
    settings::Endpoint peers() const;

    /** Waits until the configuration version is in force; false after five seconds. */
    bool waitForVersion(std::uint64_t version);

    /** Waits until the directory returns this number of instances; false after the given time. */
    bool waitForInstances(std::size_t count, Duration time);

    /** Waits until the instance knows this number of upstreams; false after five seconds. */
    bool waitForUpstreams(std::size_t count);

    /** Begins a graceful stop, like SIGTERM. */
    void beginStop();

    /** True when the graceful stop has ended. */
    bool stopped() const;

    /** Runs the action on the instance's thread. */
    void call(const std::function<void(proxy::Gateway &)> &action);

private:
    net::EventLoop m_loop;
    proxy::ProxySettings m_settings;
    std::unique_ptr<platform::StoreClient> m_client;
    std::unique_ptr<proxy::Gateway> m_gateway;
    std::unique_ptr<platform::PlatformServer> m_server;
    std::atomic<bool> m_stopped{false};
};

/** Loopback port that is free for TCP and was not returned before. Instances use the same number for UDP, where it is not checked. */
int freePort();

/** Writes a configuration with one route for each of "/safe/", "/once/" and "/slow/" of host "h.example" to the store. The
 * last one has a timeout of 300 ms. */
void putConfiguration(PlatformStore &store, std::uint64_t version);

/** Writes an upstream's entry to the store. */
void putUpstream(PlatformStore &store,
                 const std::string &id,
                 const std::string &address,
                 int sequence,
                 const std::string &state = "ready",
                 std::int64_t born = 1000);

/** Bytes of a caller's request. */
std::string callerRequest(const std::string &method,
                          const std::string &path,
                          const std::string &id,
                          const std::string &body = {},
                          int deadlineMilliseconds = 4000);

} // namespace jackdawdoor::standins
