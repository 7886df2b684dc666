/** Streaming of answers from an upstream to a caller, through the real tasks on loopback. */
#include "standins/directproxy.h"
#include "standins/rawclient.h"
#include "standins/upstream.h"

#include <doctest/doctest.h>

#include <fstream>
#include <string>
#include <thread>

using namespace jackdawdoor;
using standins::Fault;
using standins::RawClient;

namespace {

net::AttemptOrder orderFor(const standins::Upstream &upstream)
{
    net::AttemptOrder order;
    order.address = upstream.server().address();
    order.attemptTimeout = std::chrono::seconds{2};
    order.idleTimeout = std::chrono::seconds{2};
    order.maximumSilence = std::chrono::seconds{2};
    order.connectionLimit = 4;
    return order;
}

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

std::string bodyOf(const std::string &answer)
{
    return answer.substr(answer.find("\r\n\r\n") + 4);
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * 4096;
}

} // namespace

TEST_CASE("every caller gets the complete answer to its own request")
{
    standins::Upstream upstream;
    standins::DirectProxy proxy(orderFor(upstream));
    std::vector<std::thread> callers;
    callers.reserve(8);
    std::atomic<int> wrong = 0;
    for (int caller = 0; caller < 8; ++caller) {
        callers.emplace_back([&, caller] {
            RawClient client(proxy.port());
            for (int request = 0; request < 25; ++request) {
                const std::size_t size = static_cast<std::size_t>(caller) * 40000 + static_cast<std::size_t>(request) * 1013;
                const std::string target = "/c" + std::to_string(caller) + "/" + std::to_string(request) + "?bytes=" + std::to_string(size);
                client.send(get(target));
                const std::string answer = client.receiveAnswer();
                const bool own = answer.find("X-Echo-Target: " + target + "\r\n") != std::string::npos;
                wrong += own && bodyOf(answer) == standins::Upstream::bodyBytes(0, size) ? 0 : 1;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK_MESSAGE(wrong == 0, "a caller got an answer that was cut, changed or meant for another request");
    CHECK_MESSAGE(proxy.upstreams().openConnections(upstream.server().address()) <= 4, "the connection limit was exceeded");
    CHECK_MESSAGE(upstream.runs() == 200, "a request ran twice or never");
}

TEST_CASE("a 64 MiB download to a slow reader uses bounded memory")
{
    constexpr std::size_t size = std::size_t{64} * 1024 * 1024;
    constexpr std::size_t bound = std::size_t{8} * 1024 * 1024;
    standins::Upstream upstream;
    standins::DirectProxy proxy(orderFor(upstream));
    const std::size_t before = residentBytes();
    RawClient client(proxy.port());
    client.send(get("/a/b?bytes=" + std::to_string(size)));
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    CHECK_MESSAGE(residentBytes() < before + bound, "memory grows with the size of the answer while its caller does not read");
    const std::string head = client.receive(512);
    std::size_t received = head.size();
    std::size_t largest = 0;
    while (received < size) {
        const std::size_t got = client.receive(std::size_t{1} << 20).size();
        largest = std::max(largest, residentBytes());
        if (got == 0) {
            break;
        }
        received += got;
    }
    CHECK_MESSAGE(received >= size, "the download did not complete");
    CHECK_MESSAGE(largest < before + bound, "memory grows with the size of the answer while its caller reads slowly");
}

TEST_CASE("a connection whose attempt timed out is never reused")
{
    standins::Upstream upstream;
    net::AttemptOrder order = orderFor(upstream);
    order.attemptTimeout = std::chrono::milliseconds{100};
    standins::DirectProxy proxy(order);
    RawClient(proxy.port()).receive(0);
    standins::exchangeRaw(proxy.port(), "GET /a/1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    upstream.behave({Fault::Slow, std::chrono::milliseconds{250}, 64, 100});
    standins::exchangeRaw(proxy.port(), "GET /a/2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    upstream.behave({});
    // The answer to the second request arrives during the third one and must not be taken for its answer.
    const std::string third = standins::exchangeRaw(proxy.port(), "GET /a/3 HTTP/1.1\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds{250});
    const std::string fourth = standins::exchangeRaw(proxy.port(), "GET /a/4 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto reports = proxy.reports(4);
    REQUIRE(reports.size() == 4);
    CHECK_MESSAGE(reports[0].newConnection, "the first attempt did not open a connection");
    CHECK_MESSAGE(!reports[1].newConnection, "an idle connection was not reused");
    CHECK_MESSAGE(reports[1].end == core::AttemptEnd::Timeout, "a slow answer did not time out");
    CHECK_MESSAGE(reports[2].newConnection, "the connection of the attempt that timed out was reused");
    CHECK_MESSAGE(!reports[3].newConnection, "the connection of a complete answer was not kept");
    CHECK_MESSAGE(third.find("X-Echo-Target: /a/3") != std::string::npos, "a late answer was given to another request");
    CHECK_MESSAGE(fourth.find("X-Echo-Target: /a/4") != std::string::npos, "a late answer was given to another request");
}

TEST_CASE("a connection that was silent for longer than allowed is replaced")
{
    standins::Upstream upstream;
    net::AttemptOrder order = orderFor(upstream);
    order.maximumSilence = std::chrono::milliseconds{50};
    order.connectionLimit = 1;
    standins::DirectProxy proxy(order);
    standins::exchangeRaw(proxy.port(), "GET /a/1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    standins::exchangeRaw(proxy.port(), "GET /a/2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto reports = proxy.reports(2);
    REQUIRE(reports.size() == 2);
    CHECK_MESSAGE(reports[1].newConnection, "a connection without a recent answer was used");
    CHECK_MESSAGE(proxy.upstreams().openConnections(order.address) == 1, "the silent connection was not closed to keep the limit");
}
