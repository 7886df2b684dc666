/** Upstreams that announce a fleet-wide rate limit: the requests they get, as seen by the upstreams. */
#include "net/eventloop.h"
#include "standins/proxyinstance.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace jackdawdoor;
using standins::callerRequest;
using standins::PlatformStore;
using standins::ProxyInstance;
using standins::ProxyInstanceOptions;
using standins::RawClient;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;

namespace {

constexpr Duration discoveryTimeout = std::chrono::seconds{5};
/** The limit must be kept from this time after the first answer that announced it, in each window of the given length. */
constexpr Duration learningTime = std::chrono::seconds{3};
constexpr Duration windowLength = std::chrono::seconds{4};

/** Requests that an upstream may get in a window. */
double allowedInWindow(double requestsPerSecond)
{
    return 1.5 * requestsPerSecond * toSeconds(windowLength) + 5;
}

/** Upstream that announces a rate limit in each answer while it has one. */
class LimitedUpstream
{
public:
    explicit LimitedUpstream(std::string limit, Duration answerTime = {})
        : m_limit(std::move(limit))
        , m_answerTime(answerTime)
        , m_server([this](const ReceivedRequest &request) {
            return answer(request);
        })
    {
    }

    std::string address() const
    {
        return m_server.address();
    }

    void setLimit(const std::string &limit)
    {
        const std::lock_guard lock(m_mutex);
        m_limit = limit;
    }

    int arrivals()
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(m_arrivals.size());
    }

    /** Most requests in one window, from the time when the limit must be kept. */
    int mostInWindow()
    {
        const std::lock_guard lock(m_mutex);
        int most = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            if (*first < m_arrivals.front() + learningTime) {
                continue;
            }
            const auto end = std::upper_bound(first, m_arrivals.end(), *first + windowLength);
            most = std::max(most, static_cast<int>(end - first));
        }
        return most;
    }

private:
    ScriptedReply answer(const ReceivedRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(net::now());
        ScriptedReply reply;
        reply.bytes = ScriptedUpstream::answerTo(request, 200, "ok");
        reply.delay = m_answerTime;
        if (!m_limit.empty()) {
            reply.bytes.insert(reply.bytes.find("\r\n"), "\r\nServer-Limit: " + m_limit);
        }
        return reply;
    }

    std::mutex m_mutex;
    std::string m_limit;
    Duration m_answerTime;
    std::vector<TimePoint> m_arrivals;
    ScriptedUpstream m_server;
};

/** Three instances before the given upstreams, and callers that use them in turn. */
class LimitedFleet
{
public:
    explicit LimitedFleet(const std::vector<LimitedUpstream *> &upstreams)
    {
        standins::putConfiguration(m_store, 1);
        for (std::size_t index = 0; index < upstreams.size(); ++index) {
            standins::putUpstream(m_store, "u" + std::to_string(index), upstreams[index]->address(), 1);
        }
        for (int number = 1; number <= instanceCount; ++number) {
            m_instances.push_back(std::make_unique<ProxyInstance>(m_store, ProxyInstanceOptions{"edge-" + std::to_string(number)}));
        }
        for (const auto &instance : m_instances) {
            REQUIRE(instance->waitForVersion(1));
            REQUIRE(instance->waitForUpstreams(upstreams.size()));
            REQUIRE(instance->waitForInstances(instanceCount, discoveryTimeout));
        }
    }

    /** Sends a request every 25 ms for the given time, each on a connection and a thread of its own. */
    void load(Duration time, const std::string &method, const std::string &path)
    {
        std::vector<std::thread> callers;
        for (const TimePoint end = net::now() + time; net::now() < end;) {
            callers.emplace_back([this, method, path, number = ++m_sent] {
                RawClient client(m_instances[number % m_instances.size()]->callersPort());
                const TimePoint sent = net::now();
                client.send(callerRequest(method, path, "id-" + std::to_string(number), method == "POST" ? "x" : ""));
                record(client.receiveAnswer(), net::now() - sent);
            });
            std::this_thread::sleep_for(std::chrono::milliseconds{25});
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    /** Sends a request to the first instance and returns its answer. */
    std::string send(const std::string &method, const std::string &path)
    {
        RawClient client(m_instances.front()->callersPort());
        client.send(callerRequest(method, path, "id-" + std::to_string(++m_sent), ""));
        return client.receiveAnswer();
    }

    int served() const
    {
        return m_served;
    }

    int refused() const
    {
        return m_refused;
    }

    /** Refused requests without Retry-After, other failures, and refusals that came late. */
    int badAnswers() const
    {
        return m_badAnswers;
    }

private:
    static constexpr int instanceCount = 3;

    void record(const std::string &answer, Duration took)
    {
        if (answer.starts_with("HTTP/1.1 200")) {
            ++m_served;
        } else if (answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After") != std::string::npos
                   && took < std::chrono::milliseconds{500}) {
            ++m_refused;
        } else {
            ++m_badAnswers;
        }
    }

    PlatformStore m_store;
    std::vector<std::unique_ptr<ProxyInstance>> m_instances;
    std::size_t m_sent = 0;
    std::atomic<int> m_served{0};
    std::atomic<int> m_refused{0};
    std::atomic<int> m_badAnswers{0};
};

} // namespace

TEST_CASE("a fleet does not exceed the rate limit that an upstream announces")
{
    LimitedUpstream limited("1");
    // Slower, so that an instance that does not know the limit prefers the other one.
    LimitedUpstream free("", std::chrono::milliseconds{150});
    LimitedFleet fleet({&limited, &free});
    fleet.load(std::chrono::seconds{9}, "POST", "/once/a");
    CHECK_MESSAGE(limited.mostInWindow() <= allowedInWindow(1), "it got " << limited.mostInWindow() << " requests in one window");
    CHECK_MESSAGE(fleet.refused() + fleet.badAnswers() == 0, "requests were lost although another upstream had room");
    const int before = limited.arrivals();
    limited.setLimit("");
    fleet.load(std::chrono::seconds{4}, "POST", "/once/a");
    CHECK_MESSAGE(limited.arrivals() - before > allowedInWindow(1), "the limit is kept after the upstream has stopped announcing it");
}

TEST_CASE("requests are refused at once when the rate limits of all upstreams are below the load")
{
    LimitedUpstream first("2");
    LimitedUpstream second("1.5");
    LimitedFleet fleet({&first, &second});
    fleet.load(std::chrono::seconds{9}, "GET", "/safe/a");
    CHECK_MESSAGE(first.mostInWindow() <= allowedInWindow(2), "it got " << first.mostInWindow() << " requests in one window");
    CHECK_MESSAGE(second.mostInWindow() <= allowedInWindow(1.5), "it got " << second.mostInWindow() << " requests in one window");
    CHECK_MESSAGE(fleet.badAnswers() == 0, "a request that cannot be sent was not refused at once with Retry-After");
    CHECK_MESSAGE(fleet.served() >= 9 * 3.5 / 2, "the limits leave room for more than the " << fleet.served() << " served requests");
}

TEST_CASE("a request that the rate limits of all upstreams reject is told when to retry")
{
    LimitedUpstream limited("0.25");
    LimitedFleet fleet({&limited});
    REQUIRE(fleet.send("GET", "/safe/a").starts_with("HTTP/1.1 200"));
    const std::string answer = fleet.send("GET", "/safe/a");
    REQUIRE_MESSAGE(answer.starts_with("HTTP/1.1 503"), "the second request was not refused");
    const std::string header = "Retry-After: ";
    const double seconds = std::stod(answer.substr(answer.find(header) + header.size()));
    // The rate limit allows the next request four seconds after the answer.
    CHECK_MESSAGE(seconds > 3, "Retry-After is " << seconds << " s");
}
