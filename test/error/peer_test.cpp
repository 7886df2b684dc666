/** Messages and forwarded requests between two instances, and rejection of unauthenticated ones. */
#include "net/peertask.h"
#include "net/upstreamtask.h"
#include "standins/rawclient.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

using namespace jackdawdoor;
using namespace std::chrono_literals;
using net::AnswerPipe;

namespace {

const std::string fleetKey = "0123456789abcdef-fleet";

/** Transport of one instance, which records the events that it receives. */
class Peer
{
public:
    explicit Peer(const std::string &name, const std::string &key = fleetKey, net::PeerLimits limits = {})
        : m_task({{InstanceId{name}, 1}, key, limits}, [this] {
            return ++m_lastRequest;
        })
    {
        m_task.signalMessage.connect([this](const InstanceRef &from, const std::string &message) {
            add(from.id.value + ":" + message);
        });
        m_task.signalForwardFailed.connect([this](core::RequestId request, bool nothingSent) {
            add("failed " + std::to_string(request) + (nothingSent ? " not sent" : " sent"));
        });
        m_task.signalRequest.connect([this](core::RequestId request, const std::shared_ptr<const net::RequestContent> &content) {
            m_task.answer(request, m_pipe);
            add(content->method + " " + content->target + " " + content->body);
        });
        m_port = m_task.listen({"127.0.0.1", 0}).value().port;
        m_task.start();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

    /** Waits until count events have arrived, at most the given time, and returns the events so far. */
    std::vector<std::string> events(std::size_t count, std::chrono::milliseconds patience = 3s)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, patience, [&] {
            return m_events.size() >= count;
        });
        return m_events;
    }

    std::shared_ptr<AnswerPipe> m_pipe = std::make_shared<AnswerPipe>(); ///< answer of every forwarded request
    std::atomic<core::RequestId> m_lastRequest = 0;
    int m_port = 0;

private:
    void add(std::string event)
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_events;

public:
    net::PeerTask m_task;
};

InstanceRef any(const std::string &name)
{
    return {InstanceId{name}, 0};
}

/** Reads a pipe to its end, for at most five seconds. */
AnswerPipe::Chunk drain(AnswerPipe &pipe)
{
    AnswerPipe::Chunk all;
    for (int round = 0; round < 5000 && all.state == AnswerPipe::State::Open; ++round) {
        const AnswerPipe::Chunk taken = pipe.take();
        all.bytes += taken.bytes;
        all.state = taken.state;
        std::this_thread::sleep_for(1ms);
    }
    return all;
}

} // namespace

TEST_CASE("messages carry the authenticated sender and reach only the incarnation that they address")
{
    Peer first("first");
    Peer second("second");
    first.m_task.send(any("second"), second.address(), "one");
    first.m_task.send({InstanceId{"second"}, 7}, second.address(), "for another run");
    first.m_task.send(any("third"), second.address(), "for another instance");
    first.m_task.send({InstanceId{"second"}, 1}, second.address(), "two");
    const std::vector<std::string> expected{"first:one", "first:two"};
    CHECK_MESSAGE(second.events(2) == expected, "messages were lost, reordered or delivered to the wrong incarnation");
    second.m_task.send(any("first"), first.address(), std::string(500000, 'x'));
    REQUIRE_MESSAGE(first.events(1).size() == 1, "a message within the limit did not arrive");
    CHECK(first.events(1)[0].size() == 500007);
}

TEST_CASE("an instance that does not know the fleet key is rejected by either side")
{
    Peer honest("honest");
    Peer stranger("stranger", "another key, also long enough");
    stranger.m_task.send(any("honest"), honest.address(), "believe me");
    honest.m_task.send(any("stranger"), stranger.address(), "secret");
    CHECK_MESSAGE(honest.events(1, 500ms).empty(), "a message was accepted without the fleet key");
    CHECK_MESSAGE(stranger.events(1, 100ms).empty(), "a message was sent to an instance that does not know the fleet key");
    honest.m_task.forward(9, any("stranger"), stranger.address(), {"POST", "/c/s/x", {}, "payment"}, std::make_shared<AnswerPipe>());
    const std::vector<std::string> expected{"failed 9 not sent"};
    CHECK_MESSAGE(honest.events(1) == expected, "a forward that was never sent is not reported as such");
    CHECK_MESSAGE(stranger.events(1, 100ms).empty(), "a request was sent to an instance that does not know the fleet key");
}

TEST_CASE("frames and messages beyond the limits end the connection and nothing else")
{
    Peer receiver("receiver");
    net::PeerLimits wide;
    wide.messageBytes = std::size_t{4} * 1024 * 1024;
    Peer sender("sender", fleetKey, wide);
    sender.m_task.send(any("receiver"), receiver.address(), std::string(std::size_t{2} * 1024 * 1024, 'x'));
    CHECK_MESSAGE(receiver.events(1, 500ms).empty(), "a message that exceeds the size limit was accepted");
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string largeFrame = std::string("\x0f\xff\xff\x00\x00\x00\x00\x00\x01", 9) + std::string(100000, 'x');
    for (const std::string &bytes : {preface + largeFrame, preface + std::string(5000, '\xff'), std::string(5000, 'G')}) {
        standins::RawClient raw(receiver.m_port, 3000);
        raw.send(bytes);
        raw.receiveAll();
        CHECK_MESSAGE(raw.end() != standins::RawClient::End::Open, "a connection with malformed frames stays open");
    }
    standins::RawClient silent(receiver.m_port, 4000);
    silent.receiveAll();
    CHECK_MESSAGE(silent.end() != standins::RawClient::End::Open, "a connection without a handshake stays open");
    std::this_thread::sleep_for(250ms);
    sender.m_task.send(any("receiver"), receiver.address(), "small");
    const std::vector<std::string> expected{"sender:small"};
    CHECK_MESSAGE(receiver.events(1) == expected, "the transport did not recover from a broken connection");
}

TEST_CASE("a forwarded request is answered completely or reported as broken")
{
    Peer front("front");
    Peer home("home");
    const std::string body = std::string(std::size_t{3} * 1024 * 1024, 'b');
    const auto answer = std::make_shared<AnswerPipe>();
    home.m_pipe = AnswerPipe::completed({201, {{"X-A", "1"}}, std::nullopt}, body);
    front.m_task.forward(1, any("home"), home.address(), {"POST", "/c/s/x", {{"K", "v"}}, "order"}, answer);
    const AnswerPipe::Chunk whole = drain(*answer);
    CHECK_MESSAGE(whole.state == AnswerPipe::State::Complete, "a complete answer was not recognised as such");
    CHECK_MESSAGE(whole.bytes == body, "the answer's body was changed in transit");
    REQUIRE(answer->head());
    CHECK_MESSAGE(answer->head()->status == 201, "the answer's status was changed in transit");
    CHECK_MESSAGE(home.events(1).at(0) == "POST /c/s/x order", "the request was changed in transit");

    home.m_pipe = std::make_shared<AnswerPipe>();
    home.m_pipe->start({200, {}, 100});
    home.m_pipe->write("half");
    home.m_pipe->finish(AnswerPipe::State::Broken);
    const auto cut = std::make_shared<AnswerPipe>();
    front.m_task.forward(2, any("home"), home.address(), {"GET", "/c/s/y", {}, ""}, cut);
    CHECK_MESSAGE(drain(*cut).state == AnswerPipe::State::Broken, "a broken answer looks complete to the instance that forwards it");
}

TEST_CASE("back-pressure applies to a forwarded answer")
{
    Peer front("front");
    Peer home("home");
    const auto answer = std::make_shared<AnswerPipe>();
    home.m_pipe = std::make_shared<AnswerPipe>();
    home.m_pipe->start({200, {}, std::nullopt});
    front.m_task.forward(1, any("home"), home.address(), {"GET", "/c/s/x", {}, ""}, answer);
    constexpr std::size_t bound = std::size_t{2} * 1024 * 1024;
    const std::string chunk(std::size_t{64} * 1024, 'c');
    std::size_t written = 0;
    for (int round = 0; round < 500; ++round) {
        if (home.m_pipe->hasRoom()) {
            home.m_pipe->write(chunk);
            written += chunk.size();
        }
        std::this_thread::sleep_for(1ms);
    }
    CHECK_MESSAGE(written < bound, "an answer that nobody reads is buffered without limit");
    home.m_pipe->finish(AnswerPipe::State::Complete);
    const AnswerPipe::Chunk all = drain(*answer);
    CHECK_MESSAGE(all.state == AnswerPipe::State::Complete, "the answer did not continue when its reader started");
    CHECK_MESSAGE(all.bytes.size() == written, "a part of the answer was lost");
}
