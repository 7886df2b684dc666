/** An instance of the proxy in the test's process, on loopback ports of its own. */
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

/** What sets one instance apart from another. */
struct ProxyInstanceOptions {
    std::string name = "edge-1";
    std::vector<settings::Endpoint> seeds = {};
    Incarnation incarnation = 0; ///< zero: from the clock
};

/** Runs the parts of the command `proxy` on a thread. */
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

    /** Waits until the instance serves that version; false after five seconds. */
    bool waitForVersion(std::uint64_t version);

    /** Waits until the instance's directory names so many instances; false after the time. */
    bool waitForInstances(std::size_t count, Duration time);

    /** Waits until the instance knows so many upstreams; false after five seconds. */
    bool waitForUpstreams(std::size_t count);

    /** As SIGTERM does. */
    void beginStop();

    /** The planned stop has ended. */
    bool stopped() const;

    /** Runs something on the instance's thread. */
    void call(const std::function<void(proxy::Gateway &)> &action);

private:
    net::EventLoop m_loop;
    proxy::ProxySettings m_settings;
    std::unique_ptr<platform::StoreClient> m_client;
    std::unique_ptr<proxy::Gateway> m_gateway;
    std::unique_ptr<platform::PlatformServer> m_server;
    std::atomic<bool> m_stopped{false};
};

/** A port of loopback that nothing listens on, by TCP and by UDP. */
int freePort();

/** Writes a configuration with one route for each of "/safe/", "/once/" and "/slow/" of host "h.example" to the store. The
 * last one has a time-out of 300 ms. */
void putConfiguration(PlatformStore &store, std::uint64_t version);

/** Writes an upstream's entry to the store. */
void putUpstream(PlatformStore &store, const std::string &id, const std::string &address, int sequence, const std::string &state = "ready");

/** A request as a caller sends it. */
std::string callerRequest(const std::string &method,
                          const std::string &path,
                          const std::string &id,
                          const std::string &body = {},
                          int deadlineMilliseconds = 4000);

} // namespace jackdawdoor::standins
