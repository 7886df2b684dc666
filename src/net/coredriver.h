/** Task that runs the decision core: passes events to it and carries out its effects. */
#pragma once

#include "net/answerpipe.h"
#include "net/decisioncore.h"
#include "net/eventloop.h"
#include "net/httpfrontend.h"
#include "net/peertask.h"
#include "net/platformtask.h"
#include "net/requestreader.h"
#include "net/upstreamtask.h"
#include "telemetry/metrics.h"

#include <sigc++/signal.h>

#include <map>
#include <memory>
#include <string>

namespace jackdawdoor::net {

/** Tasks that the driver connects to the core. They must outlive the driver. */
struct DriverTasks {
    HttpFrontEnd &callers;
    HttpFrontEnd &operators;
    PeerTask &peers;
    UpstreamTask &upstreams;
    PlatformTask &platform;
    telemetry::Metrics &metrics;
};

/** Runs the core of the process; the core is used on the driver's thread only. */
class CoreDriver : private EffectTarget
{
public:
    CoreDriver(DriverTasks tasks, std::unique_ptr<DecisionCore> core);
    ~CoreDriver() override;
    CoreDriver(const CoreDriver &) = delete;
    CoreDriver &operator=(const CoreDriver &) = delete;

    /** Starts the core. Call before the front ends listen, since their signals are connected here. */
    void start();

    /** Begins a graceful shutdown. */
    void beginStop();

    /** The core has finished its shutdown and every request has ended. Emitted on the driver's thread. */
    sigc::signal<void()> signalStopped;

private:
    struct Request {
        FrontEnd *front = nullptr;
        std::shared_ptr<const RequestContent> content; ///< as received, for forwarding
        std::shared_ptr<const RequestContent> upstreamContent;
        core::CallerRequest head;
        TimePoint arrived;
        bool hasContract = false; ///< a contract names the customer, so it may be used as a metric label
        bool answered = false; ///< an answer was passed to the front end
        bool refused = false;
        bool forwarded = false;
        std::shared_ptr<AnswerPipe> forwardedAnswer; ///< from another instance, until its head arrives
    };
    struct Attempt {
        core::RequestId request = 0;
        std::shared_ptr<AnswerPipe> pipe;
        TimePoint dispatched;
        TimePoint headArrived;
        bool finished = false;
    };

    void dispatch(core::RequestId request, const AttemptOrder &order) override;
    void cancel(core::AttemptId attempt) override;
    void relayAnswer(core::RequestId request, core::AttemptId attempt) override;
    void relayStored(core::RequestId request, const StoredAnswer &answer) override;
    void refuse(core::RequestId request, const core::Refusal &refusal) override;
    void forward(core::RequestId request, const InstanceRef &peer, const std::string &address) override;
    void sendPeerMessage(const InstanceRef &peer, const std::string &address, std::string message) override;
    void readLog(std::uint64_t fromOffset, std::uint32_t maximumRecords) override;
    void appendLog(std::string record) override;
    void logDecision(const telemetry::DecisionLine &decision) override;
    void stopFinished() override;

    void connectFrontEnds();
    void connectSources();
    void onRequest(FrontEnd &front, core::RequestId id, const std::shared_ptr<const RequestContent> &content);
    void onControlRequest(FrontEnd &front, core::RequestId id, const RequestContent &content);
    void onProxiedRequest(FrontEnd &front, core::RequestId id, const std::shared_ptr<const RequestContent> &content);
    void onOperatorRequest(core::RequestId id, const RequestContent &content);
    void onRequestEnd(core::RequestId id, RequestEnd end);
    void onHead(const core::AnswerHead &head);
    void onAttemptFinished(const core::AttemptReport &report);
    void onForwardHead(core::RequestId request);
    void giveAnswer(core::RequestId request, std::shared_ptr<AnswerPipe> pipe);
    void tick();
    void checkStopped();

    DriverTasks m_tasks;
    std::unique_ptr<DecisionCore> m_core;
    EventLoop m_loop;
    Timer m_tickTimer;
    std::map<core::RequestId, Request> m_requests;
    std::map<core::AttemptId, Attempt> m_attempts;
    bool m_stopFinished = false;
    bool m_stopped = false;
};

} // namespace jackdawdoor::net
