/** Front end and upstream task connected without a decision core, to test the network code alone. */
#pragma once

#include "net/httpfrontend.h"
#include "net/upstreamtask.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jackdawdoor::standins {

/** Sends each request as one attempt to one upstream and relays its answer. */
class DirectProxy
{
public:
    /** The order's address, limits and timeouts are used for each attempt. */
    explicit DirectProxy(net::AttemptOrder order, net::ServerLimits limits = {});
    ~DirectProxy();
    DirectProxy(const DirectProxy &) = delete;
    DirectProxy &operator=(const DirectProxy &) = delete;

    int port() const;
    net::UpstreamTask &upstreams();

    /** Waits until count attempts have been reported, at most five seconds, and returns the reports so far. */
    std::vector<core::AttemptReport> reports(std::size_t count);

    /** Waits until count requests have ended, at most five seconds, and returns their ends so far. */
    std::vector<net::RequestEnd> ends(std::size_t count);

private:
    void start(core::RequestId request, std::shared_ptr<const net::RequestContent> content);

    net::AttemptOrder m_order;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<core::AttemptReport> m_reports;
    std::vector<net::RequestEnd> m_ends;
    std::atomic<core::RequestId> m_lastRequest = 0;
    net::UpstreamTask m_upstreams;
    net::HttpFrontEnd m_callers;
    int m_port = 0;
};

} // namespace jackdawdoor::standins
