/** Upstreams that send bytes without end: memory and time stay bounded, and the caller is not told a success. */
#include "standins/instancefixture.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace jackdawdoor;
using standins::callerRequest;
using standins::RawClient;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;

namespace {

constexpr std::size_t blockBytes = std::size_t{16} * 1024;
/** What the proxy may accept, plus the buffers of both kernels. Without a limit it reads gigabytes until the timeout. */
constexpr std::uint64_t maximumBytes = std::uint64_t{24} * 1024 * 1024;
/** The timeout of the stand-in's routes, with a margin for a busy machine. */
constexpr std::chrono::seconds routeTimeout{3};
constexpr std::chrono::seconds timeMargin{2};

struct Case {
    const char *name;
    std::string start; ///< "ID" stands for the request's id
    std::string repeated;
};

ScriptedReply replyFor(const Case &entry, const ReceivedRequest &request)
{
    ScriptedReply reply;
    reply.bytes = entry.start;
    const std::size_t id = reply.bytes.find("ID");
    if (id != std::string::npos) {
        reply.bytes.replace(id, 2, request.header("X-Jackdawdoor-Request-Id"));
    }
    reply.repeated = entry.repeated;
    return reply;
}

std::string signedHead(int status, const std::string &id)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Jackdawdoor-Request-Id: " + id
           + "\r\nX-Jackdawdoor-Response-Signature: s\r\n\r\n";
}

std::vector<Case> casesWithoutAnswer()
{
    const std::string block(blockBytes, 'x');
    std::string fields;
    while (fields.size() < blockBytes) {
        fields += "X-Field: value\r\n";
    }
    std::string interim;
    while (interim.size() < blockBytes) {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    return {{"no answer at all", {}, block},
            {"a head without end", "HTTP/1.1 200 OK\r\n", fields},
            {"a status line without end", "HTTP/1.1 200 ", block},
            {"interim answers without end", {}, interim},
            {"a failure with a body without end", signedHead(500, "ID"), block},
            {"an unsigned success with a body without end", "HTTP/1.1 200 OK\r\nX-Jackdawdoor-Request-Id: ID\r\n\r\n", block},
            {"a rejection with a body without end", "HTTP/1.1 503 X\r\nX-Jackdawdoor-Not-Executed: 1\r\n\r\n", block},
            {"an answer to another request with a body without end", signedHead(200, "other"), block}};
}

/** An instance with one upstream that answers as the case says. */
struct EndlessFixture {
    explicit EndlessFixture(const Case &entry)
        : upstream([entry](const ReceivedRequest &request) {
            return replyFor(entry, request);
        })
        , proxy({&upstream})
    {
    }

    /** Waits until the upstream has seen the end of its connection. */
    bool waitForEnd() const
    {
        for (int count = 0; count < 200 && upstream.repeatedEnds() == 0; ++count) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        return upstream.repeatedEnds() > 0;
    }

    ScriptedUpstream upstream;
    standins::InstanceFixture proxy;
};

} // namespace

// Guards against memory and time that grow until the process is killed: the body of an answer that cannot be forwarded was
// collected without a limit, and an answer to another request was skipped without one.
TEST_CASE("an upstream that sends bytes without end is cut off, and the caller is told that the order may have run")
{
    for (const Case &entry : casesWithoutAnswer()) {
        CAPTURE(entry.name);
        const EndlessFixture fixture(entry);
        const auto begin = std::chrono::steady_clock::now();
        RawClient client(fixture.proxy.instance->callersPort(), 8000);
        client.send(callerRequest("POST", "/once/a", "id-1", "order"));
        const std::string answer = client.receiveAnswer();
        const auto took = std::chrono::steady_clock::now() - begin;
        const bool unknown = answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 504");
        CHECK_MESSAGE(unknown, "unexpected answer: " << answer.substr(0, 200));
        CHECK_MESSAGE(answer.find("Response-Signature") == std::string::npos, "an answer of the proxy bears a signature");
        CHECK_MESSAGE(took < routeTimeout + timeMargin, "the caller waited longer than the route's timeout");
        CHECK_MESSAGE(fixture.waitForEnd(), "the connection to the upstream stays open");
        CHECK_MESSAGE(fixture.upstream.repeatedBytes() < maximumBytes,
                      "the proxy read " << fixture.upstream.repeatedBytes() << " bytes that it cannot use");
    }
}

// Guards against an endless success that looks complete, or that holds its connections beyond the route's timeout.
TEST_CASE("a success with a body without end reaches the caller as a broken answer at the route's timeout")
{
    const EndlessFixture fixture({"success", signedHead(200, "ID"), std::string(blockBytes, 'x')});
    RawClient client(fixture.proxy.instance->callersPort(), 8000);
    const auto begin = std::chrono::steady_clock::now();
    client.send(callerRequest("GET", "/safe/a", "id-1"));
    const std::string answer = client.receiveAll();
    const auto took = std::chrono::steady_clock::now() - begin;
    CHECK_MESSAGE(client.end() != RawClient::End::Open, "the connection to the caller stays open");
    CHECK_MESSAGE(took < routeTimeout + timeMargin, "the answer went on after the route's timeout");
    CHECK_MESSAGE(!answer.ends_with("0\r\n\r\n"), "an answer without end looks complete");
    CHECK_MESSAGE(fixture.waitForEnd(), "the connection to the upstream stays open");
}
