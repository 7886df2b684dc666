/** Answers that break off or that are not valid HTTP: no part of one reaches a caller as an answer. */
#include "standins/instancefixture.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace jackdawdoor;
using standins::callerRequest;
using standins::RawClient;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;

namespace {

constexpr std::size_t longUpload = std::size_t{7} * 1024 * 1024;

/** Header lines that make an answer the upstream's own. */
std::string ownLines(const ReceivedRequest &request)
{
    return "X-Jackdawdoor-Request-Id: " + request.header("X-Jackdawdoor-Request-Id") + "\r\nX-Jackdawdoor-Response-Signature: s\r\n";
}

/** One instance before one upstream. */
struct OneUpstream : standins::InstanceFixture {
    explicit OneUpstream(const ScriptedUpstream &upstream)
        : InstanceFixture({&upstream})
    {
    }

    /** Answer to a request that is not idempotent, so that it is sent once. */
    std::string answerTo(const std::string &body) const
    {
        RawClient client(instance->callersPort());
        client.send(callerRequest("POST", "/once/a", "id-1", body));
        return client.receiveAnswer();
    }
};

/** Answer that a caller gets when the upstream sends these bytes and keeps the connection open. */
std::string answerWhenUpstreamSends(const std::function<std::string(const ReceivedRequest &)> &bytes)
{
    ScriptedUpstream upstream([&bytes](const ReceivedRequest &request) {
        return ScriptedReply{bytes(request)};
    });
    return OneUpstream(upstream).answerTo("x");
}

bool isBadGateway(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 502");
}

} // namespace

TEST_CASE("an answer without a length that is reset while the upload is still written is not passed on as complete")
{
    // The second part is larger than what is buffered before an answer is passed on.
    for (const std::size_t partSize : {std::size_t{4}, std::size_t{2} * 1024 * 1024}) {
        for (int round = 0; round < 3; ++round) {
            CAPTURE(partSize);
            ScriptedUpstream upstream(
                [partSize](const ReceivedRequest &request) {
                    ScriptedReply reply{"HTTP/1.1 200 X\r\n" + ownLines(request) + "\r\n" + std::string(partSize, 'p')};
                    reply.resetAfter = true;
                    reply.endDelay = std::chrono::milliseconds{200};
                    return reply;
                },
                ScriptedUpstream::Answers::AfterHead);
            const OneUpstream fixture(upstream);
            RawClient client(fixture.instance->callersPort());
            std::string upload = callerRequest("POST", "/once/a", "id-1", std::string(longUpload, 'b'));
            upload.insert(upload.find("\r\n"), "\r\nConnection: close");
            client.send(upload);
            const std::string answer = client.receiveAll();
            const bool refused = isBadGateway(answer);
            const bool brokenOff = client.end() == RawClient::End::Reset && !answer.ends_with("0\r\n\r\n");
            CHECK_MESSAGE((refused || brokenOff), "unexpected answer of " << answer.size() << " bytes: " << answer.substr(0, 300));
        }
    }
}

TEST_CASE("an answer whose status is not one of HTTP is not taken for an answer, nor skipped for the bytes behind it")
{
    for (const char *status : {"000", "007", "099", "600", "999", "0200", "20", "2x0", "101"}) {
        for (const bool followed : {false, true}) {
            CAPTURE(std::string(status));
            CAPTURE(followed);
            const std::string answer = answerWhenUpstreamSends([&](const ReceivedRequest &request) {
                const std::string first =
                    "HTTP/1.1 " + std::string(status) + " X\r\n" + ownLines(request) + "Content-Length: 4\r\n\r\nbody";
                return first + (followed ? ScriptedUpstream::answerTo(request, 200, "behind") : std::string{});
            });
            CHECK_MESSAGE(isBadGateway(answer), "unexpected answer: " << answer.substr(0, 300));
        }
    }
}

TEST_CASE("an answer with a malformed header line is not passed on")
{
    const std::vector<std::string> lines{"X Y: 1",
                                         " X: 1",
                                         "X : 1",
                                         "\tX: 1",
                                         "X\t: 1",
                                         "X\x01Y: 1",
                                         "X\x7f: 1",
                                         "\x1bX: 1",
                                         "X\x80Y: 1",
                                         "X",
                                         ": 1",
                                         "X\rY: 1",
                                         "Y: 1\r\n z",
                                         "Content-Length : 2",
                                         "X: a\x01z",
                                         "Transfer-Encoding : chunked",
                                         "X\r\n Y: 1",
                                         std::string("X\0Y: 1", 6),
                                         "Y: 1\r\n\tX: 1"};
    for (const std::string &line : lines) {
        for (const bool first : {false, true}) {
            CAPTURE(line);
            CAPTURE(first);
            const std::string answer = answerWhenUpstreamSends([&](const ReceivedRequest &request) {
                std::string head = "HTTP/1.1 200 X\r\n";
                const std::string own = ownLines(request);
                head += first ? line + "\r\n" : own;
                head += first ? own : line + "\r\n";
                return head + "Content-Length: 4\r\n\r\nbody";
            });
            CHECK_MESSAGE(isBadGateway(answer), "unexpected answer: " << answer.substr(0, 300));
        }
    }
}
