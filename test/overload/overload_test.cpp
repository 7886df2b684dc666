/** Callers that send or leave more than a process may hold. The bounds are those of the machine; none depends on its speed. */
#include "overload/crowd.h"
#include "overload/proxyprocess.h"

#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jackdawdoor::overload {

namespace {

constexpr std::size_t crowdSize = 24; ///< bodies of 8 MB each: twice the memory of the machine
constexpr std::size_t completeEvery = 4; ///< the others stop just short of their end and stay open
constexpr std::size_t largePieceBytes = megabyte;
constexpr std::size_t smallPieceBytes = std::size_t{16} * 1024;
/** Far more than the limit of 8 MB and than the machine's memory; a process that took it all would show. */
constexpr std::size_t excessiveBodyBytes = 128 * megabyte;

std::shared_ptr<const std::string> plainBlock()
{
    return std::make_shared<const std::string>(megabyte, 'b');
}

/** Chunks of the given size that together hold a megabyte of body. */
std::shared_ptr<const std::string> chunkedBlock(std::size_t chunkBytes)
{
    char head[24];
    std::snprintf(head, sizeof(head), "%zx\r\n", chunkBytes);
    const std::string chunk = head + std::string(chunkBytes, 'c') + "\r\n";
    std::string block;
    for (std::size_t size = 0; size < megabyte; size += chunkBytes) {
        block += chunk;
    }
    return std::make_shared<const std::string>(std::move(block));
}

std::string requestHead(const std::string &method, const std::string &target, std::size_t number, const std::string &framing)
{
    return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Jackdawdoor-Request-Id: crowd-" + std::to_string(number)
           + "\r\nX-Jackdawdoor-Deadline-Ms: 20000\r\n" + framing + "\r\n";
}

std::string uploadHead(std::size_t number, const std::string &framing)
{
    return requestHead("POST", number % 3 != 0 ? "/safe/crowd" : "/once/crowd", number, framing);
}

/** Body of an announced length; without its last byte if the caller stops. */
CallerBytes announcedBody(std::size_t number, std::size_t bytes, bool stops)
{
    return {uploadHead(number, "Content-Length: " + std::to_string(bytes) + "\r\n"),
            plainBlock(),
            bytes / megabyte - 1,
            std::string(megabyte - (stops ? 1 : 0), 'b')};
}

/** Chunked body; without the chunk that ends it if the caller stops. */
CallerBytes chunkedBody(std::size_t number, std::shared_ptr<const std::string> block, std::size_t megabytes, bool stops)
{
    return {uploadHead(number, "Transfer-Encoding: chunked\r\n"), std::move(block), megabytes, stops ? "" : "0\r\n\r\n"};
}

/** The checks that hold after each crowd, while its connections are still open. */
void checkSurvival(ProxyProcess &process, const ProcessLimits &limits)
{
    process.settle();
    CHECK(process.ordinaryRequest() == 200);
    REQUIRE(process.alive());
    MESSAGE("peak memory " << process.peakMemoryBytes() / megabyte << " MB of " << limits.memoryMegabytes << ", descriptors "
                           << process.peakDescriptors() << " of " << limits.descriptors);
#ifndef JACKDAWDOOR_SANITIZED // the sanitizers' own memory is several times the bound
    CHECK(process.peakMemoryBytes() <= limits.memoryMegabytes * megabyte);
#endif
    CHECK(process.peakDescriptors() <= limits.descriptors);
}

void checkBodies(std::size_t pieceBytes, const std::function<CallerBytes(std::size_t number, bool stops)> &body)
{
    const ProcessLimits limits;
    ProxyProcess process(limits);
    Crowd crowd(process.callersPort(), pieceBytes);
    for (std::size_t number = 0; number < crowdSize; ++number) {
        crowd.add(body(number, number % completeEvery != 0));
    }
    crowd.run();
    checkSurvival(process, limits);
}

} // namespace

// Guards against a process that holds each body that its limit of one body allows, however many arrive together.
TEST_CASE("many large bodies of legal size at once stay within the memory")
{
    checkBodies(largePieceBytes, [](std::size_t number, bool stops) {
        return announcedBody(number, ProcessLimits{}.maximumBodyBytes, stops);
    });
}

// Guards against an account that is asked once for a body or after it has arrived: here all bodies grow at the same pace.
TEST_CASE("many large bodies that arrive piece by piece stay within the memory")
{
    checkBodies(smallPieceBytes, [](std::size_t number, bool stops) {
        return announcedBody(number, ProcessLimits{}.maximumBodyBytes, stops);
    });
}

// Guards against an account that relies on the announced length: a chunked body has none.
TEST_CASE("many chunked bodies in large chunks stay within the memory")
{
    const auto block = chunkedBlock(megabyte);
    checkBodies(largePieceBytes, [&block](std::size_t number, bool stops) {
        return chunkedBody(number, block, ProcessLimits{}.maximumBodyBytes / megabyte, stops);
    });
}

// Guards against memory for each chunk or read that the count of body bytes does not show.
TEST_CASE("many chunked bodies in very small chunks stay within the memory")
{
    constexpr std::size_t chunkBytes = 8;
    const auto block = chunkedBlock(chunkBytes);
    checkBodies(smallPieceBytes, [&block](std::size_t number, bool stops) {
        return chunkedBody(number, block, ProcessLimits{}.maximumBodyBytes / megabyte, stops);
    });
}

// Guards against reading a body, or reserving memory for it, whose announced length is over the limit.
TEST_CASE("bodies that announce far more than the limit are not held")
{
    const ProcessLimits limits;
    ProxyProcess process(limits);
    Crowd crowd(process.callersPort(), largePieceBytes);
    for (std::size_t number = 0; number < crowdSize; ++number) {
        crowd.add(announcedBody(number, excessiveBodyBytes, false));
    }
    crowd.run();
    checkSurvival(process, limits);
    CHECK(process.received("/crowd") == 0);
}

// Guards against bodies that reach their limit together: each is legal until then, all of them are more than the memory.
TEST_CASE("chunked bodies that grow far over the limit are not held")
{
    const ProcessLimits limits;
    ProxyProcess process(limits);
    Crowd crowd(process.callersPort(), largePieceBytes);
    const auto block = chunkedBlock(megabyte / 16);
    for (std::size_t number = 0; number < crowdSize; ++number) {
        crowd.add(chunkedBody(number, block, excessiveBodyBytes / megabyte, false));
    }
    crowd.run();
    checkSurvival(process, limits);
    CHECK(process.received("/crowd") == 0);
}

// Guards against responses that pile up for callers that do not read: streamed ones, and buffered ones of pipelined requests.
TEST_CASE("large responses that callers do not read stay within the memory")
{
    constexpr std::size_t pipelinedRequests = 24;
    const ProcessLimits limits;
    ProxyProcess process(limits);
    Crowd crowd(process.callersPort(), largePieceBytes);
    for (std::size_t number = 0; number < crowdSize; ++number) {
        std::string requests;
        if (number % 2 == 0) {
            requests = requestHead("GET", "/safe/large", number, {});
        } else {
            for (std::size_t repeat = 0; repeat < pipelinedRequests; ++repeat) {
                requests += requestHead("GET", "/safe/medium", number * pipelinedRequests + repeat, {});
            }
        }
        crowd.add({requests}, false);
    }
    crowd.run();
    checkSurvival(process, limits);
}

// Guards against accepting connections until no descriptor is left for upstreams, the store and ordinary callers.
TEST_CASE("more connections than descriptors leave room for an ordinary caller")
{
    constexpr std::size_t connections = 700;
    const ProcessLimits limits;
    ProxyProcess process(limits);
    Crowd crowd(process.callersPort(), largePieceBytes);
    const std::string whole = requestHead("GET", "/safe/crowd", 0, {});
    for (std::size_t number = 0; number < connections; ++number) {
        // Some send nothing, some stop in the head, some keep the connection after their answer.
        const std::array<std::string, 3> sent{"", whole.substr(0, whole.size() - 2), whole};
        crowd.add({sent.at(number % sent.size())});
    }
    crowd.run();
    checkSurvival(process, limits);
}

// Guards against memory that an idle connection keeps of its former request. The present size counts, not the peak.
TEST_CASE("large uploads one after the other leave no memory behind")
{
    constexpr std::size_t uploads = 12;
    const ProcessLimits limits;
    ProxyProcess process(limits);
    for (std::size_t number = 0; number < uploads; ++number) {
        standins::RawClient client(process.callersPort());
        client.send(uploadHead(number, "Content-Length: " + std::to_string(limits.maximumBodyBytes) + "\r\n"));
        client.send(std::string(limits.maximumBodyBytes, 'b'));
        CHECK(client.receiveAnswer().starts_with("HTTP/1.1 200"));
    }
    const std::size_t after = process.residentMemoryBytes();
    MESSAGE("resident memory after the uploads " << after / megabyte << " MB of " << limits.memoryMegabytes);
#ifndef JACKDAWDOOR_SANITIZED // the sanitizers' own memory is several times the bound
    CHECK(after <= limits.memoryMegabytes * megabyte);
#endif
    checkSurvival(process, limits);
}

// Guards against limits that refuse a legal request in calm: the largest body on the smallest machine.
TEST_CASE("a single request with the largest legal body is served in calm")
{
    ProcessLimits limits;
    limits.memoryMegabytes = 160;
    limits.maximumBodyBytes = 64 * megabyte;
    ProxyProcess process(limits);
    {
        standins::RawClient client(process.callersPort(), 20000);
        client.send(uploadHead(0, "Content-Length: " + std::to_string(limits.maximumBodyBytes) + "\r\n"));
        client.send(std::string(limits.maximumBodyBytes, 'b'));
        CHECK(client.receiveAnswer().starts_with("HTTP/1.1 200"));
    }
    checkSurvival(process, limits);
}

// Guards against limits that end requests at an upstream for memory that is reserved and not used: each caller sends 1 KB of 8 MB.
TEST_CASE("requests that run are answered while many callers announce large bodies")
{
    constexpr std::size_t running = 6;
    constexpr std::size_t announcing = 500;
    constexpr std::size_t sentBytes = 1024;
    ProcessLimits limits;
    limits.descriptors = 4100;
    ProxyProcess process(limits);
    std::vector<std::future<std::string>> answers;
    for (std::size_t number = 0; number < running; ++number) {
        answers.push_back(std::async(std::launch::async, [&process, number] {
            standins::RawClient client(process.callersPort(), 20000);
            client.send(requestHead("POST", "/once/slow", number, "Content-Length: 4\r\n") + "body");
            return client.receiveAnswer();
        }));
    }
    while (process.alive() && process.received("/slow") < running) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    Crowd crowd(process.callersPort(), largePieceBytes);
    for (std::size_t number = running; number < running + announcing; ++number) {
        const std::string head = uploadHead(number, "Content-Length: " + std::to_string(limits.maximumBodyBytes) + "\r\n");
        crowd.add({head + std::string(sentBytes, 'b')});
    }
    crowd.run();
    for (auto &answer : answers) {
        CHECK(answer.get().starts_with("HTTP/1.1 200"));
    }
    checkSurvival(process, limits);
}

// Guards against requests at an upstream that are ended for the memory of input behind other callers' requests.
TEST_CASE("requests that run are answered while many callers pipeline more than fits")
{
    constexpr std::size_t running = 6;
    constexpr std::size_t pipelining = 500;
    constexpr std::size_t pipelinedBytes = std::size_t{300} * 1024;
    ProcessLimits limits;
    limits.descriptors = 4100;
    ProxyProcess process(limits);
    std::vector<std::future<std::string>> answers;
    for (std::size_t number = 0; number < running; ++number) {
        answers.push_back(std::async(std::launch::async, [&process, number] {
            standins::RawClient client(process.callersPort(), 20000);
            client.send(requestHead("POST", "/once/slow", number, "Content-Length: 4\r\n") + "body");
            return client.receiveAnswer();
        }));
    }
    while (process.alive() && process.received("/slow") < running) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    Crowd crowd(process.callersPort(), largePieceBytes);
    const std::string first = requestHead("GET", "/safe/slow", running, {});
    std::string behind;
    while (behind.size() < pipelinedBytes) {
        behind += requestHead("GET", "/safe/crowd", running, {});
    }
    const auto block = std::make_shared<const std::string>(std::move(behind));
    for (std::size_t number = 0; number < pipelining; ++number) {
        crowd.add({first, block, 1});
    }
    crowd.run();
    for (auto &answer : answers) {
        CHECK(answer.get().starts_with("HTTP/1.1 200"));
    }
    checkSurvival(process, limits);
}

// Guards against a bound on the connections of the requests' port alone: callers also connect to the directory.
TEST_CASE("more connections to the directory than descriptors leave room for an ordinary caller")
{
    constexpr std::size_t connections = 700;
    constexpr std::size_t batch = 50; // fewer than the accept queue holds, so that no connection waits for a retransmission
    constexpr std::chrono::milliseconds acceptTime{100};
    const ProcessLimits limits;
    ProxyProcess process(limits);
    Crowd crowd(process.directoryPort(), largePieceBytes);
    for (std::size_t number = 1; number <= connections; ++number) {
        crowd.add({"GET /v1/resolve?host=h.example HTTP/1.1\r\n"});
        if (number % batch == 0) {
            crowd.run();
            std::this_thread::sleep_for(acceptTime);
        }
    }
    checkSurvival(process, limits);
}

} // namespace jackdawdoor::overload
