/** proxy::ConnectionChecks: whether the end of an upstream's process is found. */
#include "net/eventloop.h"
#include "proxy/connectioncheck.h"
#include "standins/scriptedupstream.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <thread>

using namespace jackdawdoor;
using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;

namespace {

/** Evidence of a broken connection is kept this long for a check that finds its upstream unreachable. */
constexpr Duration evidenceLifetime = std::chrono::milliseconds{1500};

/** Checks on a loop of their own, and an upstream that can end. */
class CheckFixture
{
public:
    CheckFixture()
        : m_upstream(std::make_unique<ScriptedUpstream>([](const ReceivedRequest &) {
            return ScriptedReply{};
        }))
    {
        m_entry.address = m_upstream->address();
        m_loop.start();
        m_loop.call([this] {
            m_checks = std::make_unique<proxy::ConnectionChecks>(m_loop, [this](const fleet::UpstreamEntry &) {
                ++m_unreachable;
            });
        });
    }

    ~CheckFixture()
    {
        m_loop.call([this] {
            m_checks.reset();
        });
        m_loop.stop();
    }

    CheckFixture(const CheckFixture &) = delete;
    CheckFixture &operator=(const CheckFixture &) = delete;

    void check()
    {
        m_loop.call([this] {
            m_checks->start(net::now(), m_entry);
        });
    }

    void endUpstream()
    {
        m_upstream.reset();
    }

    int unreachable() const
    {
        return m_unreachable;
    }

private:
    net::EventLoop m_loop;
    std::unique_ptr<ScriptedUpstream> m_upstream;
    fleet::UpstreamEntry m_entry;
    std::unique_ptr<proxy::ConnectionChecks> m_checks;
    std::atomic<int> m_unreachable{0};
};

} // namespace

TEST_CASE("an upstream that ends just after it passed a check is found to be unreachable in time")
{
    CheckFixture fixture;
    fixture.check();
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    CHECK_MESSAGE(fixture.unreachable() == 0, "an upstream that accepts connections counts as unreachable");
    fixture.endUpstream();
    fixture.check();
    const TimePoint end = net::now() + evidenceLifetime;
    while (fixture.unreachable() == 0 && net::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    CHECK_MESSAGE(fixture.unreachable() == 1, "the second check was not made");
}

TEST_CASE("many broken connections to one upstream cause few checks")
{
    CheckFixture fixture;
    fixture.endUpstream();
    const TimePoint end = net::now() + std::chrono::milliseconds{1800};
    while (net::now() < end) {
        fixture.check();
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    CHECK_MESSAGE(fixture.unreachable() <= 2, "there were " << fixture.unreachable() << " checks in 1.8 s");
}
