#include "proxy/connectioncheck.h"

#include "net/socketaddress.h"
#include "proxy/outboundconnection.h"

#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** A process that ends closes its connections and its listener within a few milliseconds, in any order. */
constexpr Duration checkDelay = std::chrono::milliseconds{20};
/** Time between the starts of two checks of one address. */
constexpr Duration checkInterval = std::chrono::seconds{1};

} // namespace

/** The checks of one address. */
class ConnectionChecks::Check
{
public:
    explicit Check(ConnectionChecks &owner)
        : m_owner(owner)
        , m_timer(owner.m_loop, [this] {
            onTimer();
        })
    {
    }

    ~Check()
    {
        close();
    }

    Check(const Check &) = delete;
    Check &operator=(const Check &) = delete;

    /** Asks for a check that begins after now. */
    void request(TimePoint now, const fleet::UpstreamEntry &upstream)
    {
        m_upstream = upstream;
        if (m_state == State::Idle) {
            schedule(now);
        } else if (m_state == State::Connecting) {
            m_again = true; // this one may have been accepted before the upstream ended
        }
    }

    bool outdated(TimePoint now) const
    {
        return m_state == State::Idle && now - m_started >= checkInterval;
    }

private:
    enum class State {
        Idle,
        Scheduled,
        Connecting,
    };

    void schedule(TimePoint now)
    {
        m_state = State::Scheduled;
        m_timer.set(std::max(checkDelay, m_started + checkInterval - now));
    }

    void onTimer()
    {
        if (m_state == State::Connecting) {
            finish(false);
            return;
        }
        m_state = State::Connecting;
        m_started = net::now();
        m_socket = bufferevent_socket_new(m_owner.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(m_socket, nullptr, nullptr, &Check::onEvent, this);
        sockaddr_storage address{};
        // The address was checked when the entry was decoded.
        const socklen_t length = net::toSocketAddress(settings::parseEndpoint(m_upstream.address).value(), address);
        m_timer.set(connectTimeout);
        // An immediate failure is reported through the deferred event callback.
        static_cast<void>(bufferevent_socket_connect(m_socket, reinterpret_cast<sockaddr *>(&address), static_cast<int>(length)));
    }

    static void onEvent(bufferevent * /*bufferedSocket*/, short what, void *self)
    {
        static_cast<Check *>(self)->finish((what & BEV_EVENT_CONNECTED) != 0);
    }

    void finish(bool accepted)
    {
        m_timer.cancel();
        close();
        m_state = State::Idle;
        if (std::exchange(m_again, false)) {
            schedule(net::now());
        }
        if (!accepted) {
            m_owner.m_onUnreachable(m_upstream);
        }
    }

    void close()
    {
        if (m_socket != nullptr) {
            bufferevent_free(std::exchange(m_socket, nullptr));
        }
    }

    ConnectionChecks &m_owner;
    fleet::UpstreamEntry m_upstream;
    State m_state = State::Idle;
    bool m_again = false; ///< another check was asked for while this one was connecting
    TimePoint m_started{}; ///< of the latest check
    net::Timer m_timer;
    bufferevent *m_socket = nullptr;
};

ConnectionChecks::ConnectionChecks(net::EventLoop &loop, OnUnreachable onUnreachable)
    : m_loop(loop)
    , m_onUnreachable(std::move(onUnreachable))
{
}

ConnectionChecks::~ConnectionChecks() = default;

void ConnectionChecks::start(TimePoint now, const fleet::UpstreamEntry &upstream)
{
    std::unique_ptr<Check> &check = m_checks[upstream.address];
    if (!check) {
        check = std::make_unique<Check>(*this);
    }
    check->request(now, upstream);
}

void ConnectionChecks::expire(TimePoint now)
{
    std::erase_if(m_checks, [now](const auto &entry) {
        return entry.second->outdated(now);
    });
}

} // namespace jackdawdoor::proxy
