/** Handling of faulty upstreams and callers by the network tasks. */
#include "net/httpfetch.h"
#include "net/httpserver.h"
#include "standins/directproxy.h"
#include "standins/rawclient.h"
#include "standins/scriptedupstream.h"
#include "standins/upstream.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace jackdawdoor;
using core::AttemptEnd;
using standins::Fault;
using standins::RawClient;

namespace {

net::AttemptOrder orderFor(const std::string &address)
{
    net::AttemptOrder order;
    order.address = address;
    order.attemptTimeout = std::chrono::milliseconds{300};
    order.idleTimeout = std::chrono::milliseconds{300};
    order.maximumSilence = std::chrono::seconds{2};
    order.connectionLimit = 2;
    return order;
}

constexpr const char *request = "GET /a/b?bytes=100000 HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("each fault of an upstream is reported as its kind of attempt end")
{
    struct Case {
        Fault fault;
        AttemptEnd end;
        const char *status;
    };
    const std::vector<Case> cases{{Fault::Error, AttemptEnd::Complete, "HTTP/1.1 500"},
                                  {Fault::Shed, AttemptEnd::Complete, "HTTP/1.1 503"},
                                  {Fault::Hang, AttemptEnd::Timeout, "HTTP/1.1 502"},
                                  {Fault::Reset, AttemptEnd::Reset, "HTTP/1.1 502"}};
    standins::Upstream upstream;
    standins::DirectProxy proxy(orderFor(upstream.server().address()));
    std::size_t count = 0;
    for (const Case &entry : cases) {
        upstream.behave({entry.fault, {}, 64, 100});
        RawClient client(proxy.port());
        client.send(request);
        const std::string answer = client.receiveAnswer();
        const auto reports = proxy.reports(++count);
        REQUIRE(reports.size() == count);
        CHECK_MESSAGE(reports.back().end == entry.end, "fault " << static_cast<int>(entry.fault) << " was reported as another end");
        CHECK_MESSAGE(answer.starts_with(entry.status), "unexpected answer: " << answer);
    }
}

TEST_CASE("a refused connection is reported as nothing sent")
{
    int unusedPort = 0;
    {
        const standins::Upstream gone;
        unusedPort = gone.server().port();
    }
    standins::DirectProxy proxy(orderFor("127.0.0.1:" + std::to_string(unusedPort)));
    RawClient client(proxy.port());
    client.send(request);
    client.receiveAnswer();
    const auto reports = proxy.reports(1);
    REQUIRE(reports.size() == 1);
    CHECK_MESSAGE(reports[0].end == AttemptEnd::ConnectFailed,
                  "a connection that was never established is reported as having sent the request");
}

TEST_CASE("a short body is never presented as a complete answer")
{
    standins::Upstream upstream;
    upstream.behave({Fault::Short, {}, 64, 100});
    standins::DirectProxy proxy(orderFor(upstream.server().address()));
    for (const char *version : {"HTTP/1.1", "HTTP/1.0"}) {
        RawClient client(proxy.port());
        client.send("GET /a/b?bytes=300000 " + std::string(version) + "\r\nHost: x\r\n\r\n");
        const std::string answer = client.receiveAll();
        CHECK_MESSAGE(answer.size() < 300000, "a truncated answer was padded");
        CHECK_MESSAGE(client.end() == RawClient::End::Reset, "the connection of a truncated answer was closed without a reset");
    }
    const auto reports = proxy.reports(2);
    REQUIRE(reports.size() == 2);
    CHECK_MESSAGE(reports[0].end == AttemptEnd::ShortBody, "a short body was not reported");
    const auto ends = proxy.ends(2);
    CHECK_MESSAGE(ends.at(0) == net::RequestEnd::Broken, "a truncated answer counts as answered");
}

TEST_CASE("an answer with a malformed head is passed on neither by a proxied request nor by a fetch")
{
    for (const char *head : {"HTTP/1.1 000 X",
                             "HTTP/1.1 600 X",
                             "HTTP/1.1 200 X\r\nX Y: 1",
                             "HTTP/1.1 200 X\r\nX\x01Y: 1",
                             "HTTP/1.1 200 X\r\nContent-Length : 2"}) {
        CAPTURE(std::string(head));
        standins::ScriptedUpstream upstream([head](const standins::ReceivedRequest &) {
            return standins::ScriptedReply{std::string(head) + "\r\nContent-Length: 4\r\n\r\nbody", true};
        });
        standins::DirectProxy proxy(orderFor(upstream.address()));
        RawClient client(proxy.port());
        client.send(request);
        const std::string answer = client.receiveAnswer();
        CHECK_MESSAGE(answer.starts_with("HTTP/1.1 502"), "unexpected answer: " << answer);
        net::FetchRequest fetched;
        fetched.url = "http://" + upstream.address() + "/";
        const auto result = net::fetchAndWait(fetched);
        CHECK_MESSAGE(!result.has_value(), "fetched with status " << (result.has_value() ? result.value().status : 0));
    }
}

TEST_CASE("a caller that disconnects cancels its attempt")
{
    standins::Upstream upstream;
    upstream.behave({Fault::Hang, {}, 64, 100});
    net::AttemptOrder order = orderFor(upstream.server().address());
    order.attemptTimeout = std::chrono::seconds{30};
    standins::DirectProxy proxy(order);
    {
        RawClient client(proxy.port());
        client.send(request);
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    const auto reports = proxy.reports(1);
    REQUIRE_MESSAGE(reports.size() == 1, "the caller's disconnection was not detected while its request waited");
    CHECK_MESSAGE(reports[0].end == AttemptEnd::Cancelled, "the attempt of a disconnected caller continued");
    CHECK_MESSAGE(proxy.upstreams().openConnections(order.address) == 0, "the connection of a cancelled attempt stayed open");
}

TEST_CASE("requests that two parsers could read differently are refused and not forwarded")
{
    standins::Upstream upstream;
    standins::DirectProxy proxy(orderFor(upstream.server().address()));
    const std::string smuggled = "GET /a/smuggled HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::vector<std::string> requests{
        "POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
        "POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggled,
        "POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length : 5\r\n\r\n" + smuggled,
        "POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nTransfer-Encoding: identity, chunked\r\n\r\n" + smuggled,
        "POST /a/b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
        "POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: +0\r\n\r\n" + smuggled,
    };
    for (const std::string &text : requests) {
        const std::string answer = standins::exchangeRaw(proxy.port(), text);
        CHECK_MESSAGE(answer.find("HTTP/1.1 200") == std::string::npos, "an ambiguous request was served: " << text);
    }
    CHECK_MESSAGE(upstream.runs() == 0, "an ambiguous request or the one hidden in it reached the upstream");
}

TEST_CASE("a request that is too large or too slow is ended by the listener")
{
    standins::Upstream upstream;
    net::ServerLimits limits;
    limits.maximumBodyBytes = 1000;
    limits.maximumHeaderBytes = 2000;
    limits.readTimeout = std::chrono::milliseconds{200};
    standins::DirectProxy proxy(orderFor(upstream.server().address()), limits);
    standins::exchangeRaw(proxy.port(), "POST /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'));
    standins::exchangeRaw(proxy.port(), "GET /a/b HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n");
    RawClient slow(proxy.port(), 3000);
    slow.send("GET /a/b HTTP/1.1\r\nHo");
    slow.receiveAll();
    CHECK_MESSAGE(slow.end() != RawClient::End::Open, "a caller that does not finish its request keeps its connection");
    CHECK_MESSAGE(upstream.runs() == 0, "a request beyond the limits reached the upstream");
}

// Guards against a double free: evhttp frees the requests of a server that it destroys, and the exchange freed them again.
TEST_CASE("a server that is destroyed with a pending request frees it once")
{
    net::EventLoop loop;
    loop.start();
    std::unique_ptr<net::HttpServer> server;
    std::vector<std::unique_ptr<net::ServerExchange>> pending;
    std::atomic<int> received = 0;
    std::atomic<int> gone = 0;
    int port = 0;
    loop.call([&] {
        server = std::make_unique<net::HttpServer>(loop, net::ServerLimits{}, [&](evhttp_request *pendingRequest) {
            pending.push_back(std::make_unique<net::ServerExchange>(loop, pendingRequest, server->limits(), [&gone] {
                ++gone;
            }));
            ++received;
        });
        port = server->listen({"127.0.0.1", 0}).value().port;
    });
    RawClient client(port);
    client.send(request);
    while (received == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    loop.call([&] {
        server.reset();
    });
    // Runs after the action that the exchange posted.
    loop.call([&] {
        CHECK_MESSAGE(pending.front()->closed(), "the exchange does not know that its connection is gone");
        pending.clear();
    });
    CHECK_MESSAGE(gone == 1, "the owner of the exchange was not told that its connection is gone");
    loop.stop();
}
