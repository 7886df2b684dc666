/** Answers that are complete for the process while the kernel still holds them: a close must not discard what callers read later. */
#include "proxy/instanceserver.h"
#include "standins/instancefixture.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

using namespace jackdawdoor;
using standins::callerRequest;
using standins::InstanceFixture;
using standins::RawClient;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Window of a caller behind a narrow link; most of an answer stays in the kernel of the sender. */
constexpr int narrowWindow = 2304;
constexpr std::size_t smallBytes = 9000;
/** More than the kernel takes from the process at once. */
constexpr std::size_t largeBytes = std::size_t{8} * 1024 * 1024;
/** The upstreams of these tests answer after this time, so that a stop begins before the answer. */
constexpr Duration workTime = milliseconds{500};

/** Answers with a body of that size, after workTime. */
ScriptedUpstream::Script answersOf(std::size_t bodyBytes)
{
    return [bodyBytes](const ReceivedRequest &request) {
        ScriptedReply reply{ScriptedUpstream::answerTo(request, 200, std::string(bodyBytes, 'x'))};
        reply.delay = workTime;
        return reply;
    };
}

/** Server of the instance's own calls; each answer has a body of that size. */
class OwnServer
{
public:
    explicit OwnServer(std::size_t bodyBytes)
    {
        m_loop.start();
        m_loop.call([&] {
            m_server = std::make_unique<proxy::InstanceServer>(m_loop, [bodyBytes](const std::string &) {
                return proxy::CallAnswer{200, {}, std::string(bodyBytes, 'x')};
            });
            const auto listening = m_server->listen({"127.0.0.1", 0});
            REQUIRE(listening.has_value());
            m_port = listening.value().port;
        });
    }

    ~OwnServer()
    {
        end();
        m_loop.stop();
    }

    OwnServer(const OwnServer &) = delete;
    OwnServer &operator=(const OwnServer &) = delete;

    int port() const
    {
        return m_port;
    }

    void setMaximumConnections(std::size_t connections)
    {
        m_loop.call([&] {
            m_server->setMaximumConnections(connections);
        });
    }

    /** Like the end of the process. */
    void end()
    {
        m_loop.call([this] {
            m_server.reset();
        });
    }

    void closeIdle()
    {
        m_loop.call([this] {
            m_server->closeIdle();
        });
    }

    std::size_t undelivered()
    {
        std::size_t count = 0;
        m_loop.call([&] {
            count = m_server->undeliveredAnswers(net::now());
        });
        return count;
    }

    bool waitUntilDelivered(Duration time)
    {
        const TimePoint end = net::now() + time;
        while (undelivered() > 0 && net::now() < end) {
            std::this_thread::sleep_for(milliseconds{10});
        }
        return undelivered() == 0;
    }

private:
    net::EventLoop m_loop;
    std::unique_ptr<proxy::InstanceServer> m_server;
    int m_port = 0;
};

std::size_t bodySize(const std::string &answer)
{
    const std::size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? 0 : answer.size() - end - 4;
}

const std::string laterCall = "GET /later HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

// Guards against a planned stop that loses an answer which its caller has not read yet when it sends further requests: the
// connection was closed as soon as the kernel had the answer, and the requests made the kernel reset it.
TEST_CASE("a planned stop delivers an answer behind which its caller sends further requests before it reads")
{
    std::size_t bytes = 0;
    std::size_t readBefore = 0; // so that the kernel has the rest when the last request comes
    SUBCASE("of a few kilobytes")
    {
        bytes = smallBytes;
    }
    SUBCASE("larger than the kernel's buffers")
    {
        bytes = largeBytes;
        readBefore = largeBytes - 10 * smallBytes;
    }
    const ScriptedUpstream upstream(answersOf(bytes));
    const InstanceFixture fixture({&upstream});
    RawClient client(fixture.instance->callersPort(), 5000, "127.0.0.1", narrowWindow);
    client.send(callerRequest("GET", "/safe/a", "id-1"));
    std::this_thread::sleep_for(workTime / 2);
    fixture.instance->beginStop();
    std::this_thread::sleep_for(workTime);
    for (const char *id : {"id-2", "id-3", "id-4"}) {
        client.send(callerRequest("GET", "/safe/a", id));
        std::this_thread::sleep_for(milliseconds{400});
    }
    std::string answer = client.receive(readBefore);
    client.send(callerRequest("GET", "/safe/a", "id-5"));
    std::this_thread::sleep_for(milliseconds{400});
    answer += client.receiveAll();
    CHECK_MESSAGE(bodySize(answer) == bytes, "the caller got " << bodySize(answer) << " of " << bytes << " bytes");
    CHECK_MESSAGE(answer.find("Connection: close") != std::string::npos, "the caller is not told that the connection closes");
}

// Guards against a process that ends while the kernel holds an answer: a request that comes afterwards makes the kernel discard it.
TEST_CASE("a stopping process waits within the grace period until a caller that reads late has its answer")
{
    const ScriptedUpstream upstream(answersOf(smallBytes));
    const InstanceFixture fixture({&upstream});
    RawClient client(fixture.instance->callersPort(), 5000, "127.0.0.1", narrowWindow);
    client.send(callerRequest("GET", "/safe/a", "id-1"));
    std::this_thread::sleep_for(workTime / 2);
    fixture.instance->beginStop();
    CHECK_MESSAGE(!fixture.waitUntilStopped(milliseconds{3600}), "the process ended before the caller had its answer");
    client.send(callerRequest("GET", "/safe/a", "id-2"));
    const std::string answer = client.receiveAnswer();
    CHECK_MESSAGE(bodySize(answer) == smallBytes, "the caller got " << bodySize(answer) << " bytes");
    client.receiveAll();
    CHECK_MESSAGE(client.end() == RawClient::End::Closed, "the connection was not closed in an orderly way");
}

// Guards against a stop that waits for the whole grace period for callers that have their answers and do not close.
TEST_CASE("a caller that has its answer and does not close holds a stop for a short time only")
{
    const ScriptedUpstream upstream(answersOf(smallBytes));
    const InstanceFixture fixture({&upstream});
    RawClient client(fixture.instance->callersPort());
    client.send(callerRequest("GET", "/safe/a", "id-1"));
    std::this_thread::sleep_for(workTime / 2);
    fixture.instance->beginStop();
    CHECK(bodySize(client.receiveAnswer()) == smallBytes);
    CHECK_MESSAGE(fixture.waitUntilStopped(proxy::lingerTime + milliseconds{1500}), "the stop waits for a caller that has its answer");
}

// Guards against an answer that is aborted as unread because nothing was sent for a long time before it.
TEST_CASE("an answer counts as unread from when it begins to wait or is last read from")
{
    const TimePoint start{};
    proxy::AnswerDelivery delivery(start);
    delivery.addQueued(start + seconds{60}, 10);
    CHECK_FALSE(delivery.complete());
    CHECK_FALSE(delivery.stalled(start + seconds{74}, seconds{15}));
    delivery.update(start + seconds{70}, 4);
    delivery.addQueued(start + seconds{80}, 10); // no sign that the caller reads
    delivery.update(start + seconds{80}, 14);
    CHECK_FALSE(delivery.stalled(start + seconds{84}, seconds{15}));
    CHECK(delivery.stalled(start + seconds{85}, seconds{15}));
    delivery.update(start + seconds{86}, 0);
    CHECK(delivery.complete());
    CHECK_FALSE(delivery.stalled(start + seconds{200}, seconds{15}));
    CHECK(delivery.progressed() == start + seconds{86});
}

// Guards against an answer that is lost since its caller, or an HTTP/1.0 caller, had asked for the close behind it.
TEST_CASE("an answer behind which the caller asked for the close is delivered although further requests follow")
{
    std::string call;
    SUBCASE("Connection: close")
    {
        call = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    }
    SUBCASE("HTTP/1.0")
    {
        call = "GET / HTTP/1.0\r\n\r\n";
    }
    const OwnServer server(smallBytes);
    RawClient client(server.port(), 5000, "127.0.0.1", narrowWindow);
    client.send(call);
    std::this_thread::sleep_for(milliseconds{300});
    client.send(laterCall);
    std::this_thread::sleep_for(milliseconds{300});
    client.send(laterCall);
    std::this_thread::sleep_for(milliseconds{2500}); // longer than the time for a caller that has acknowledged everything
    const std::string answer = client.receiveAll();
    CHECK_MESSAGE(bodySize(answer) == smallBytes, "the caller got " << bodySize(answer) << " bytes");
    CHECK(client.end() == RawClient::End::Closed);
}

// Guards against a refusal whose close discards the answer to the request before it.
TEST_CASE("the answer before a refused request is delivered although its caller goes on sending")
{
    const OwnServer server(smallBytes);
    RawClient client(server.port(), 5000, "127.0.0.1", narrowWindow);
    client.send(laterCall);
    std::this_thread::sleep_for(milliseconds{300});
    client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 999999\r\n\r\n");
    for (int block = 0; block < 30; ++block) { // longer than a refused caller may go on sending
        client.send("more of the body");
        std::this_thread::sleep_for(milliseconds{100});
    }
    const std::string answers = client.receiveAll();
    CHECK_MESSAGE(answers.find("HTTP/1.1 413 ") != std::string::npos, "the refusal is missing behind " << answers.size() << " bytes");
    CHECK(client.end() == RawClient::End::Closed);
}

// Guards against answers of the instance's own ports (directory, metrics, state for other instances) that are lost at its stop.
TEST_CASE("an own port that closes at the stop delivers its answers before that")
{
    OwnServer server(smallBytes);
    RawClient client(server.port(), 5000, "127.0.0.1", narrowWindow);
    client.send(laterCall);
    std::this_thread::sleep_for(milliseconds{300});
    server.closeIdle();
    client.send(laterCall);
    std::this_thread::sleep_for(milliseconds{300});
    CHECK_MESSAGE(server.undelivered() == 1, "a stop would not wait for the answer");
    const std::string answer = client.receiveAnswer();
    CHECK_MESSAGE(bodySize(answer) == smallBytes, "the caller got " << bodySize(answer) << " bytes");
    CHECK_MESSAGE(server.waitUntilDelivered(proxy::lingerTime + seconds{1}), "a caller that does not close holds the stop");
}

// Guards against an answer that is lost because its connection looks idle and gives way to a new one.
TEST_CASE("a connection gives way to a new one only when its caller has the answer")
{
    OwnServer server(smallBytes);
    server.setMaximumConnections(1);
    RawClient client(server.port(), 5000, "127.0.0.1", narrowWindow);
    client.send(laterCall);
    std::this_thread::sleep_for(milliseconds{300});
    RawClient surplus(server.port());
    surplus.send(laterCall);
    CHECK_MESSAGE(surplus.receiveAll().empty(), "the unread answer's connection was replaced");
    client.send(laterCall);
    std::string answers = client.receiveAnswer();
    CHECK_MESSAGE(bodySize(answers) == smallBytes, "the caller got " << bodySize(answers) << " bytes");
    CHECK(bodySize(client.receiveAnswer()) == smallBytes);
    std::this_thread::sleep_for(milliseconds{100});
    RawClient later(server.port());
    later.send(laterCall);
    CHECK_MESSAGE(bodySize(later.receiveAnswer()) == smallBytes, "an idle connection did not give way");
}

// Guards against an answer that breaks off and looks complete, since it has no length and its caller, who had shut down the
// sending side, saw an orderly close.
TEST_CASE("an answer that is broken off because its caller sends no more does not look complete")
{
    const ScriptedUpstream upstream([](const ReceivedRequest &request) {
        ScriptedReply reply{"HTTP/1.1 200 OK\r\nX-Jackdawdoor-Request-Id: " + request.header("X-Jackdawdoor-Request-Id")
                            + "\r\nX-Jackdawdoor-Response-Signature: s\r\n\r\n" + std::string(smallBytes * 100, 'x')};
        reply.closeAfter = true;
        reply.rest = "the end";
        reply.restDelay = seconds{2};
        return reply;
    });
    const InstanceFixture fixture({&upstream});
    RawClient client(fixture.instance->callersPort());
    std::string call = callerRequest("GET", "/safe/a", "id-1");
    call.replace(call.find("HTTP/1.1"), std::string_view("HTTP/1.1").size(), "HTTP/1.0");
    client.send(call);
    REQUIRE_MESSAGE(client.receive(smallBytes).size() == smallBytes, "the answer was not begun");
    client.finishSending();
    client.receiveAll();
    CHECK_MESSAGE(client.end() == RawClient::End::Reset, "the caller cannot tell that the answer is not complete");
}

// Guards against an answer that breaks off with the end of the process and looks complete to a caller that takes the close for its end.
TEST_CASE("an answer that is not wholly sent when the process ends is reset")
{
    OwnServer server(largeBytes);
    RawClient client(server.port(), 5000, "127.0.0.1", narrowWindow);
    client.send("GET / HTTP/1.0\r\n\r\n");
    CHECK(client.receive(smallBytes).size() == smallBytes);
    server.end();
    client.receiveAll();
    CHECK_MESSAGE(client.end() == RawClient::End::Reset, "the part of the answer looks complete");
}

// Guards against a timeout of the kernel that resets a caller which reads all the time: it counts the time since the window was
// last wide enough for what the kernel wants to send next, and a narrow window never is.
TEST_CASE("a caller that reads through a narrow window for longer than the limit on unread answers has its answer")
{
    constexpr std::size_t bytes = 540000;
    constexpr int window = 8192;
    constexpr std::size_t readBytes = 1500;
    const OwnServer server(bytes);
    RawClient client(server.port(), 5000, "127.0.0.1", window);
    client.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const TimePoint end = net::now() + proxy::maximumUnreadTime + milliseconds{1500};
    std::string answer;
    while (net::now() < end && client.end() == RawClient::End::Open) {
        answer += client.receive(readBytes);
        std::this_thread::sleep_for(milliseconds{100});
    }
    answer += client.receiveAll();
    CHECK_MESSAGE(bodySize(answer) == bytes, "the caller got " << bodySize(answer) << " bytes");
    CHECK(client.end() == RawClient::End::Closed);
}
