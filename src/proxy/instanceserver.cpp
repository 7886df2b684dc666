#include "proxy/instanceserver.h"

#include "limits/callershare.h"

#include <event2/http.h>
#include <event2/util.h>

#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** Calls have short heads and no bodies; what does not fit is answered 431 or 413. */
constexpr routing::CallerLimits callLimits{std::size_t{8} * 1024,
                                           std::size_t{8} * 1024,
                                           std::chrono::seconds{10},
                                           std::chrono::seconds{30}};
constexpr Duration checkPeriod = std::chrono::seconds{1};

} // namespace

InstanceServer::InstanceServer(net::EventLoop &loop, Handler handler, std::shared_ptr<limits::MemoryAccount> memory)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_memory(std::move(memory))
    , m_listener(loop,
                 [this](int socket) {
                     accept(socket);
                 })
    , m_timer(loop,
              [this] {
                  checkConnections();
              })
    , m_maximumConnections(limits::DescriptorShares{}.calls)
{
    m_hooks.onRequest = [this](CallerConnection &connection, CallerRequest &&request) {
        answer(connection, request);
    };
    m_hooks.onGone = [](CallerConnection &) {};
    m_hooks.onEnd = [this](CallerConnection &connection) {
        m_connections.erase(&connection);
    };
    m_hooks.onRejected = [](CallerConnection &, int, const char *) {};
}

InstanceServer::~InstanceServer() = default;

Result<settings::Endpoint> InstanceServer::listen(const settings::Endpoint &endpoint)
{
    m_timer.set(checkPeriod);
    return m_listener.listen(endpoint);
}

void InstanceServer::setMaximumConnections(std::size_t connections)
{
    m_maximumConnections = connections;
}

void InstanceServer::closeIdle()
{
    m_listener.close();
    closeIdleConnections(m_connections);
}

std::size_t InstanceServer::undeliveredAnswers(TimePoint now) const
{
    for (const auto &[key, connection] : m_connections) {
        connection->tick(now);
    }
    return proxy::undeliveredAnswers(m_connections);
}

void InstanceServer::accept(int socket)
{
    if (m_connections.size() >= m_maximumConnections) {
        const CallerConnection *replaced = connectionToReplace(net::now(), m_connections);
        if (replaced == nullptr) {
            evutil_closesocket(socket);
            return;
        }
        m_connections.erase(replaced);
    }
    auto connection = std::make_unique<CallerConnection>(m_loop, socket, callLimits, m_hooks);
    const CallerConnection *key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void InstanceServer::answer(CallerConnection &connection, const CallerRequest &request)
{
    const CallAnswer answered = m_handler(request.head.target);
    if (m_memory && !m_memory->available(answered.body.size(), limits::MemoryUser::LargeRequest)) {
        connection.reply(HTTP_SERVUNAVAIL, {}, "no memory\n");
        return;
    }
    connection.reply(answered.status, answered.headers, answered.body);
}

void InstanceServer::checkConnections()
{
    m_timer.set(checkPeriod);
    for (const auto &[key, connection] : m_connections) {
        connection->tick(net::now());
    }
}

} // namespace jackdawdoor::proxy
