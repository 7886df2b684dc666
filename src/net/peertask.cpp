#include "net/peertask.h"

#include "net/socketaddress.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <utility>

namespace jackdawdoor::net {

namespace {

constexpr Duration checkInterval = std::chrono::milliseconds{200};
constexpr std::size_t maximumSessions = 8192;
constexpr Duration maximumDeliveryTime = std::chrono::seconds{2};
constexpr int backlog = 1024;

} // namespace

PeerTask::PeerTask(PeerIdentity identity, RequestIdSource nextRequestId)
    : m_identity(std::move(identity))
    , m_nextRequestId(std::move(nextRequestId))
    , m_checkTimer(m_loop, [this] {
        check();
    })
{
}

PeerTask::~PeerTask()
{
    m_loop.call([this] {
        m_links.clear();
        m_sessions.clear();
        if (m_listener != nullptr) {
            evconnlistener_free(m_listener);
        }
    });
    m_loop.stop();
}

Result<settings::Endpoint> PeerTask::listen(const settings::Endpoint &endpoint)
{
    sockaddr_storage address{};
    const socklen_t length = toSocketAddress(endpoint, address);
    m_listener = evconnlistener_new_bind(m_loop.base(),
                                         &PeerTask::onAccept,
                                         this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                         backlog,
                                         reinterpret_cast<const sockaddr *>(&address),
                                         static_cast<int>(length));
    if (m_listener == nullptr) {
        return Error{"listen", endpoint.text(), evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())};
    }
    return settings::Endpoint{endpoint.host, boundPort(evconnlistener_get_fd(m_listener))};
}

void PeerTask::start()
{
    m_checkTimer.set(checkInterval);
    m_loop.start();
}

void PeerTask::whenDelivered(std::function<void()> done)
{
    m_loop.post([this, done = std::move(done)] {
        m_onDelivered = done;
        m_deliveryDeadline = now() + maximumDeliveryTime;
        check();
    });
}

bool PeerTask::delivered() const
{
    const bool sent = std::all_of(m_links.begin(), m_links.end(), [](const auto &entry) {
        return entry.second->delivered();
    });
    return sent && std::all_of(m_sessions.begin(), m_sessions.end(), [](const auto &entry) {
               return entry.second->sent();
           });
}

void PeerTask::send(const InstanceRef &to, const std::string &address, std::string message)
{
    m_loop.post([this, to, address, message = std::move(message)] {
        if (PeerLink *target = link(address)) {
            target->send(to, message);
        }
    });
}

void PeerTask::forward(core::RequestId request,
                       const InstanceRef &to,
                       const std::string &address,
                       const RequestContent &content,
                       std::shared_ptr<AnswerPipe> pipe)
{
    m_loop.post([this, request, to, address, bytes = encodeRequest(content), pipe = std::move(pipe)] {
        if (PeerLink *target = link(address)) {
            target->forward({request, to, bytes, pipe});
        } else {
            signalForwardFailed.emit(request, true);
        }
    });
}

void PeerTask::cancelForward(core::RequestId request)
{
    m_loop.post([this, request] {
        for (auto &entry : m_links) {
            entry.second->cancel(request);
        }
    });
}

void PeerTask::answer(core::RequestId request, std::shared_ptr<AnswerPipe> pipe)
{
    m_loop.post([this, request, pipe = std::move(pipe)] {
        const auto found = m_inbound.find(request);
        const auto session = found == m_inbound.end() ? m_sessions.end() : m_sessions.find(found->second.session);
        if (session == m_sessions.end()) {
            pipe->closeConsumer();
            return;
        }
        session->second->answer(found->second.stream, pipe);
    });
}

PeerLink *PeerTask::link(const std::string &address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end()) {
        return found->second.get();
    }
    const auto endpoint = settings::parseEndpoint(address);
    if (!endpoint.has_value()) {
        return nullptr;
    }
    auto created = std::make_unique<PeerLink>(m_loop, m_identity, endpoint.value(), [this](core::RequestId request, bool nothingSent) {
        signalForwardFailed.emit(request, nothingSent);
    });
    return m_links.emplace(address, std::move(created)).first->second.get();
}

void PeerTask::onAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/, int /*length*/, void *self)
{
    static_cast<PeerTask *>(self)->accept(socket);
}

void PeerTask::accept(int socket)
{
    if (m_sessions.size() >= maximumSessions) {
        evutil_closesocket(socket);
        return;
    }
    const std::uint64_t number = ++m_lastSession;
    PeerSessionEvents events;
    events.message = [this](const InstanceRef &from, const std::string &message) {
        signalMessage.emit(from, message);
    };
    events.request = [this, number](std::int32_t stream, RequestContent request) {
        onForwarded(number, stream, std::move(request));
    };
    events.answerEnded = [this, number](std::int32_t stream, bool complete) {
        onAnswerEnded(number, stream, complete);
    };
    events.closed = [this, number] {
        m_sessions.erase(number);
    };
    m_sessions.emplace(number, std::make_unique<PeerSession>(m_loop, m_identity, socket, std::move(events)));
}

void PeerTask::onForwarded(std::uint64_t session, std::int32_t stream, RequestContent request)
{
    const core::RequestId number = m_nextRequestId();
    m_inbound.emplace(number, Inbound{session, stream});
    signalRequest.emit(number, std::make_shared<const RequestContent>(std::move(request)));
}

void PeerTask::onAnswerEnded(std::uint64_t session, std::int32_t stream, bool complete)
{
    const auto found = std::find_if(m_inbound.begin(), m_inbound.end(), [&](const auto &entry) {
        return entry.second.session == session && entry.second.stream == stream;
    });
    if (found != m_inbound.end()) {
        const core::RequestId request = found->first;
        m_inbound.erase(found);
        signalEnd.emit(request, complete ? RequestEnd::Answered : RequestEnd::CallerGone);
    }
}

void PeerTask::check()
{
    const TimePoint present = now();
    std::erase_if(m_links, [&](const auto &entry) {
        return entry.second->disposable(present);
    });
    for (auto &entry : m_links) {
        entry.second->check(present);
    }
    for (auto &entry : m_sessions) {
        entry.second->check(present);
    }
    if (m_onDelivered && (delivered() || present > m_deliveryDeadline)) {
        std::exchange(m_onDelivered, {})();
    }
    m_checkTimer.set(checkInterval);
}

} // namespace jackdawdoor::net
