/** Error handling of connections to upstreams. */
#include "net/peertimeout.h"
#include "proxy/outboundconnection.h"
#include "standins/scriptedupstream.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

using namespace jackdawdoor;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;

// Guards against a duplicate run of a request: on a busy instance the connection opened and the connect timeout fired at the
// same time, and the request was sent although the attempt was reported as not sent.
TEST_CASE("a connect timeout that fires as the connection opens is reported as unsent only if nothing was sent")
{
    ScriptedUpstream upstream([](const ReceivedRequest &request) {
        return ScriptedReply{ScriptedUpstream::answerTo(request, 200, "x"), false, false, false, {}};
    });
    net::EventLoop loop;
    std::unique_ptr<proxy::OutboundConnection> connection;
    std::atomic<bool> ended{false};
    std::atomic<bool> unsent{false};
    loop.start();
    loop.call([&] {
        connection = std::make_unique<proxy::OutboundConnection>(
            loop, settings::parseEndpoint(upstream.address()).value(), "X-Jackdawdoor-Request-Id");
        proxy::OutboundConnectionHooks hooks;
        hooks.onComplete = [&] {
            ended = true;
        };
        hooks.onFailure = [&](proxy::ConnectionFailure failure) {
            unsent = failure == proxy::ConnectionFailure::ConnectTimeout || failure == proxy::ConnectionFailure::NotConnected;
            ended = true;
        };
        connection->send("GET / HTTP/1.1\r\nX-Jackdawdoor-Request-Id: id\r\n\r\n", "id", false, std::move(hooks));
        // Blocks the loop past the connect timeout while the connection opens.
        std::this_thread::sleep_for(std::chrono::milliseconds{400});
    });
    for (int count = 0; count < 200 && !ended; ++count) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    REQUIRE_MESSAGE(ended.load(), "the attempt did not end");
    CHECK_MESSAGE(upstream.requests().size() == (unsent ? 0U : 1U), "a request that was reported as unsent reached the upstream");
    loop.call([&] {
        connection.reset();
    });
    loop.stop();
}

// Guards against lost answers under packet loss: two lost keep-alive probes ended connections whose answers were in transit,
// and requests that had run were answered 502.
TEST_CASE("a connection to an upstream survives several lost keep-alive probes")
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    net::setPeerTimeout(socket, proxy::upstreamPeerTimeout);
    int probes = 0;
    unsigned unacknowledged = 0;
    socklen_t length = sizeof(probes);
    getsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, &length);
    getsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, &length);
    close(socket);
    // At 30 % packet loss in each direction half of the probes fail, and six in a row in 2 of 100 cases.
    CHECK_MESSAGE(probes >= 6, "a connection ends after " << probes << " lost probes");
    CHECK_MESSAGE(unacknowledged >= 6000, "a connection ends after " << unacknowledged << " ms without an acknowledgement");
}

// Guards against undefined behaviour: the stated seconds overflowed when they were converted.
TEST_CASE("an excessive Keep-Alive timeout of an upstream is limited to a day")
{
    ScriptedUpstream upstream([](const ReceivedRequest &request) {
        std::string answer = ScriptedUpstream::answerTo(request, 200, "x");
        answer.insert(answer.find("\r\n") + 2, "Keep-Alive: timeout=99999999999999\r\n");
        return ScriptedReply{answer, false, false, false, {}};
    });
    net::EventLoop loop;
    std::unique_ptr<proxy::OutboundConnection> connection;
    std::atomic<bool> complete{false};
    Duration limit{};
    loop.start();
    loop.call([&] {
        connection = std::make_unique<proxy::OutboundConnection>(
            loop, settings::parseEndpoint(upstream.address()).value(), "X-Jackdawdoor-Request-Id");
        proxy::OutboundConnectionHooks hooks;
        hooks.onComplete = [&] {
            complete = true;
        };
        connection->send("GET / HTTP/1.1\r\nX-Jackdawdoor-Request-Id: id\r\n\r\n", "id", false, std::move(hooks));
    });
    for (int count = 0; count < 200 && !complete; ++count) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    REQUIRE(complete.load());
    loop.call([&] {
        limit = connection->idleLimit();
        connection.reset();
    });
    CHECK_MESSAGE((limit > std::chrono::hours{23} && limit <= std::chrono::hours{24}), "idle limit of " << toSeconds(limit) << " s");
    loop.stop();
}

// Guards against a request without an answer: reading was paused with the last bytes of an answer, and the connection was used
// again without being read.
TEST_CASE("a connection whose reading was paused at the end of an answer is read again for the next request")
{
    ScriptedUpstream upstream([](const ReceivedRequest &request) {
        return ScriptedReply{ScriptedUpstream::answerTo(request, 200, "x"), false, false, false, {}};
    });
    net::EventLoop loop;
    std::unique_ptr<proxy::OutboundConnection> connection;
    std::atomic<int> completed{0};
    loop.start();
    const auto sendOne = [&] {
        proxy::OutboundConnectionHooks hooks;
        hooks.onBody = [&](std::string_view) {
            connection->pauseReading(true);
        };
        hooks.onComplete = [&] {
            ++completed;
        };
        connection->send("GET / HTTP/1.1\r\nX-Jackdawdoor-Request-Id: id\r\n\r\n", "id", false, std::move(hooks));
    };
    const auto waitFor = [&](int count) {
        for (int round = 0; round < 300 && completed < count; ++round) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    };
    loop.call([&] {
        connection = std::make_unique<proxy::OutboundConnection>(
            loop, settings::parseEndpoint(upstream.address()).value(), "X-Jackdawdoor-Request-Id");
        sendOne();
    });
    waitFor(1);
    REQUIRE(completed == 1);
    loop.call(sendOne);
    waitFor(2);
    CHECK_MESSAGE(completed == 2, "the second request got no answer");
    loop.call([&] {
        connection.reset();
    });
    loop.stop();
}
