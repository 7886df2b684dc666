/** Task that exchanges messages and forwarded requests with other instances. */
#pragma once

#include "base/error.h"
#include "net/eventloop.h"
#include "net/frontend.h"
#include "net/peerlink.h"
#include "net/peersession.h"
#include "settings/settings.h"

#include <sigc++/signal.h>

#include <map>
#include <memory>
#include <string>

struct evconnlistener;
struct sockaddr;

namespace jackdawdoor::net {

/** Transport between instances. As a front end it signals the requests that other instances forward to this one. */
class PeerTask : public FrontEnd
{
public:
    PeerTask(PeerIdentity identity, RequestIdSource nextRequestId);
    ~PeerTask() override; ///< closes all connections
    PeerTask(const PeerTask &) = delete;
    PeerTask &operator=(const PeerTask &) = delete;

    /** Binds the listener; the result has the bound port. */
    Result<settings::Endpoint> listen(const settings::Endpoint &endpoint);

    /** Starts the task. Connect the signals first. */
    void start();

    /** Calls done on this task's thread when all messages are delivered and all answers sent, or after two seconds. */
    void whenDelivered(std::function<void()> done);

    /** Sends a control message without a guarantee of delivery. */
    void send(const InstanceRef &to, const std::string &address, std::string message);

    /** Forwards a request to another instance; its answer goes into the pipe. */
    void forward(core::RequestId request,
                 const InstanceRef &to,
                 const std::string &address,
                 const RequestContent &content,
                 std::shared_ptr<AnswerPipe> pipe);

    /** Cancels a forwarded request. */
    void cancelForward(core::RequestId request);

    void answer(core::RequestId request, std::shared_ptr<AnswerPipe> pipe) override;

    sigc::signal<void(const InstanceRef &, const std::string &)> signalMessage; ///< from an authenticated instance
    sigc::signal<void(core::RequestId, bool)> signalForwardFailed; ///< no answer arrived; true: the peer certainly did not receive it

private:
    struct Inbound {
        std::uint64_t session = 0;
        std::int32_t stream = 0;
    };

    static void onAccept(evconnlistener *listener, int socket, sockaddr *address, int length, void *self);
    void accept(int socket);
    void onForwarded(std::uint64_t session, std::int32_t stream, RequestContent request);
    void onAnswerEnded(std::uint64_t session, std::int32_t stream, bool complete);
    PeerLink *link(const std::string &address);
    void check();
    bool delivered() const;

    PeerIdentity m_identity;
    RequestIdSource m_nextRequestId;
    EventLoop m_loop;
    Timer m_checkTimer;
    std::function<void()> m_onDelivered;
    TimePoint m_deliveryDeadline{};
    evconnlistener *m_listener = nullptr;
    std::map<std::string, std::unique_ptr<PeerLink>> m_links; ///< by address
    std::map<core::RequestId, Inbound> m_inbound;
    std::uint64_t m_lastSession = 0;
    std::map<std::uint64_t, std::unique_ptr<PeerSession>> m_sessions;
};

} // namespace jackdawdoor::net
