#include "proxy/connectioncheck.h"

#include "net/socketaddress.h"

#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** A process that ends closes its connections and its listener within a few milliseconds, in any order. */
constexpr Duration checkDelay = std::chrono::milliseconds{20};
/** A connection opens in about 1 ms within a data centre. */
constexpr Duration checkTimeout = std::chrono::milliseconds{250};
constexpr Duration checkInterval = std::chrono::seconds{1};

} // namespace

/** One check of one upstream. */
class ConnectionChecks::Check
{
public:
    Check(ConnectionChecks &owner, TimePoint now, fleet::UpstreamEntry upstream)
        : m_owner(owner)
        , m_upstream(std::move(upstream))
        , m_started(now)
        , m_timer(owner.m_loop, [this] {
            onTimer();
        })
    {
        m_timer.set(checkDelay);
    }

    ~Check()
    {
        close();
    }

    Check(const Check &) = delete;
    Check &operator=(const Check &) = delete;

    const fleet::UpstreamEntry &upstream() const
    {
        return m_upstream;
    }

    bool recent(TimePoint now) const
    {
        return !m_finished || now - m_started < checkInterval;
    }

    /** Returns true the first time. */
    bool markFinished()
    {
        m_timer.cancel();
        close();
        return !std::exchange(m_finished, true);
    }

private:
    void onTimer()
    {
        if (m_socket != nullptr) {
            m_owner.finish(*this, false);
            return;
        }
        m_socket = bufferevent_socket_new(m_owner.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(m_socket, nullptr, nullptr, &Check::onEvent, this);
        sockaddr_storage address{};
        // The address was checked when the entry was decoded.
        const socklen_t length = net::toSocketAddress(settings::parseEndpoint(m_upstream.address).value(), address);
        m_timer.set(checkTimeout);
        // An immediate failure is reported through the deferred event callback.
        static_cast<void>(bufferevent_socket_connect(m_socket, reinterpret_cast<sockaddr *>(&address), static_cast<int>(length)));
    }

    static void onEvent(bufferevent * /*bufferedSocket*/, short what, void *self)
    {
        auto *check = static_cast<Check *>(self);
        check->m_owner.finish(*check, (what & BEV_EVENT_CONNECTED) != 0);
    }

    void close()
    {
        if (m_socket != nullptr) {
            bufferevent_free(std::exchange(m_socket, nullptr));
        }
    }

    ConnectionChecks &m_owner;
    fleet::UpstreamEntry m_upstream;
    TimePoint m_started;
    net::Timer m_timer;
    bufferevent *m_socket = nullptr;
    bool m_finished = false;
};

ConnectionChecks::ConnectionChecks(net::EventLoop &loop, OnUnreachable onUnreachable)
    : m_loop(loop)
    , m_onUnreachable(std::move(onUnreachable))
{
}

ConnectionChecks::~ConnectionChecks() = default;

void ConnectionChecks::start(TimePoint now, const fleet::UpstreamEntry &upstream)
{
    const auto known = m_checks.find(upstream.address);
    if (known != m_checks.end() && known->second->recent(now)) {
        return;
    }
    m_checks[upstream.address] = std::make_unique<Check>(*this, now, upstream);
}

void ConnectionChecks::finish(Check &check, bool accepted)
{
    if (check.markFinished() && !accepted) {
        m_onUnreachable(check.upstream());
    }
}

void ConnectionChecks::expire(TimePoint now)
{
    std::erase_if(m_checks, [now](const auto &entry) {
        return !entry.second->recent(now);
    });
}

} // namespace jackdawdoor::proxy
