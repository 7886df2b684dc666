/** Task that sends attempts to upstreams. */
#pragma once

#include "core/attemptreport.h"
#include "net/answerpipe.h"
#include "net/decisioncore.h"
#include "net/eventloop.h"
#include "net/upstreamattempt.h"
#include "net/upstreampool.h"

#include <sigc++/signal.h>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace jackdawdoor::net {

/** Owner of all connections to upstreams. Its methods may be called from any thread; signals are emitted on its own thread. */
class UpstreamTask
{
public:
    UpstreamTask();
    ~UpstreamTask(); ///< closes all connections
    UpstreamTask(const UpstreamTask &) = delete;
    UpstreamTask &operator=(const UpstreamTask &) = delete;

    /** Starts an attempt; the answer goes into the pipe. */
    void start(const AttemptOrder &order, std::shared_ptr<const RequestContent> request, std::shared_ptr<AnswerPipe> pipe);

    /** Closes the attempt's connection; the report says Cancelled unless the attempt had already ended. */
    void cancel(core::AttemptId attempt);

    /** Open connections to an address, for tests and status. */
    int openConnections(const std::string &address);

    sigc::signal<void(const core::AnswerHead &)> signalHead;
    sigc::signal<void(const core::AttemptReport &)> signalFinished;

private:
    struct Upstream {
        UpstreamPool pool;
        std::deque<core::AttemptId> waiting; ///< attempts that wait for a connection because the limit is reached
    };

    void startHere(const AttemptOrder &order, std::shared_ptr<const RequestContent> request, std::shared_ptr<AnswerPipe> pipe);
    Upstream *upstream(const std::string &address);
    void beginWaiting(Upstream &upstream);
    void onFinished(const core::AttemptReport &report);
    void closeSilent();

    EventLoop m_loop;
    Timer m_closeSilentTimer;
    std::map<std::string, Upstream> m_upstreams; ///< by address
    std::map<core::AttemptId, std::unique_ptr<UpstreamAttempt>> m_attempts;
};

} // namespace jackdawdoor::net
