/** Answers that break off or that are not valid HTTP: no part of one reaches a caller as an answer. */
#include "standins/proxyinstance.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace jackdawdoor;
using standins::callerRequest;
using standins::PlatformStore;
using standins::ProxyInstance;
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
struct OneUpstream {
    explicit OneUpstream(const ScriptedUpstream &upstream)
    {
        standins::putConfiguration(store, 1);
        standins::putUpstream(store, "u1", upstream.address(), 1);
        instance = std::make_unique<ProxyInstance>(store);
        REQUIRE(instance->waitForVersion(1));
        REQUIRE(instance->waitForUpstreams(1));
    }

    /** Answer to a request that is not idempotent, so that it is sent once. */
    std::string answerTo(const std::string &body) const
    {
        RawClient client(instance->callersPort());
        client.send(callerRequest("POST", "/once/a", "id-1", body));
        return client.receiveAnswer();
    }

    PlatformStore store;
    std::unique_ptr<ProxyInstance> instance;
};

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
