#include "proxy/proxyserver.h"

#include "proxy/proxylog.h"

#include <event2/util.h>

#include <algorithm>
#include <vector>

namespace jackdawdoor::proxy {

namespace {

/** Bytes in the kernel count as memory of the process. With 2 ms between caller and instance, this allows 64 MB/s. */
constexpr int receiveBufferBytes = 128 * 1024;

} // namespace

ProxyServer::ProxyServer(RequestContext &context)
    : m_context(context)
    , m_listener(context.loop,
                 [this](int socket) {
                     accept(socket);
                 })
    , m_input(context.memory, limits::MemoryKind::Input, 0)
{
    m_hooks.onRequest = [this](CallerConnection &connection, CallerRequest &&request) {
        handleRequest(connection, std::move(request));
    };
    m_hooks.onGone = [this](CallerConnection &connection) {
        const auto exchange = m_exchanges.find(&connection);
        if (exchange != m_exchanges.end()) {
            exchange->second->callerGone();
        }
    };
    m_hooks.onEnd = [this](CallerConnection &connection) {
        drop(connection);
    };
    m_hooks.rejectionHeaders = [this](const MessageHead &head) {
        const std::string &name = m_context.protocol.names.requestId;
        const std::string requestId = net::findHeader(head.headers, name);
        return requestId.empty() ? net::Headers{} : net::Headers{{name, requestId}};
    };
    m_hooks.onRejected = [this](CallerConnection &, int status, const char *reason) {
        ++m_limited[reason];
        m_context.metrics.countLimited(reason);
        logRequest("", nullptr, status, reason, 0, {});
    };
}

ProxyServer::~ProxyServer()
{
    m_exchanges.clear();
}

Result<settings::Endpoint> ProxyServer::listen(const settings::Endpoint &endpoint)
{
    return m_listener.listen(endpoint, receiveBufferBytes);
}

void ProxyServer::accept(int socket)
{
    if (!makeRoom()) {
        evutil_closesocket(socket);
        return;
    }
    const routing::CallerLimits limits = m_context.routes ? m_context.routes->limits() : routing::CallerLimits{};
    auto connection = std::make_unique<CallerConnection>(m_context.loop, socket, limits, m_hooks, m_context.memory);
    if (m_stopping) {
        connection->beginClose(false);
    }
    const CallerConnection *key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void ProxyServer::handleRequest(CallerConnection &connection, CallerRequest &&request)
{
    auto exchange = std::make_unique<Exchange>(m_context, connection, std::move(request));
    Exchange &started = *exchange;
    m_exchanges.insert_or_assign(&connection, std::move(exchange));
    started.begin();
}

void ProxyServer::drop(CallerConnection &connection)
{
    m_exchanges.erase(&connection);
    m_connections.erase(&connection);
}

void ProxyServer::tick(TimePoint now)
{
    std::vector<Exchange *> running;
    for (const auto &[connection, exchange] : m_exchanges) {
        running.push_back(exchange.get());
    }
    for (Exchange *exchange : running) {
        exchange->tick(now);
    }
    checkConnections(now);
    readWaiting(now);
    returnMemory(now);
    logLimits(now);
    std::erase_if(m_exchanges, [](const auto &entry) {
        return entry.second->done();
    });
}

void ProxyServer::beginStop()
{
    m_stopping = true;
    for (const auto &[key, connection] : m_connections) {
        connection->beginClose(false);
    }
}

void ProxyServer::closeIdle()
{
    m_listener.close();
    closeIdleConnections(m_connections);
}

void ProxyServer::endRequests()
{
    for (const auto &[connection, exchange] : m_exchanges) {
        if (!exchange->done()) {
            exchange->endForStop();
        }
    }
}

std::size_t ProxyServer::requests() const
{
    std::size_t count = 0;
    for (const auto &[connection, exchange] : m_exchanges) {
        count += exchange->done() ? 0 : 1;
    }
    return count;
}

std::size_t ProxyServer::undeliveredAnswers() const
{
    return proxy::undeliveredAnswers(m_connections);
}

std::size_t ProxyServer::connections() const
{
    return m_connections.size();
}

} // namespace jackdawdoor::proxy
