/** One attempt at an upstream: sends the request, reads the answer into a pipe, applies timeouts and reports the end. */
#pragma once

#include "core/attemptreport.h"
#include "net/answerpipe.h"
#include "net/decisioncore.h"
#include "net/eventloop.h"
#include "net/upstreamconnection.h"

#include <functional>
#include <memory>

struct evhttp_request;

namespace jackdawdoor::net {

/** A running attempt. Used on the upstream task's thread only. */
class UpstreamAttempt
{
public:
    using HeadHook = std::function<void(const core::AnswerHead &)>;

    /** Called once, never from within an evhttp callback. It may destroy the attempt. */
    using FinishedHook = std::function<void(const core::AttemptReport &)>;

    UpstreamAttempt(EventLoop &loop,
                    AttemptOrder order,
                    std::shared_ptr<const RequestContent> request,
                    std::shared_ptr<AnswerPipe> pipe,
                    HeadHook onHead,
                    FinishedHook onFinished);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt &) = delete;
    UpstreamAttempt &operator=(const UpstreamAttempt &) = delete;

    const AttemptOrder &order() const;

    /** Sends the request on the connection. */
    void begin(TimePoint now, std::unique_ptr<UpstreamConnection> connection);

    /** Ends the attempt with Cancelled. */
    void cancel();

    /** The connection after the end; reusable only when the report says Complete. nullptr if there was none. */
    std::unique_ptr<UpstreamConnection> takeConnection();

private:
    static int onHeaders(evhttp_request *request, void *attempt);
    static void onChunk(evhttp_request *request, void *attempt);
    static void onDone(evhttp_request *request, void *attempt);
    void sendRequest();
    bool readHead(evhttp_request *request);
    void readBody(std::string_view bytes);
    void pauseIfFull();
    void resume();
    void onTimeout();
    void finishLater(core::AttemptEnd end);
    void finish(core::AttemptEnd end);
    core::AttemptEnd brokenEnd() const;

    EventLoop &m_loop;
    AttemptOrder m_order;
    std::shared_ptr<const RequestContent> m_request;
    std::shared_ptr<AnswerPipe> m_pipe;
    HeadHook m_onHead;
    FinishedHook m_onFinished;
    std::unique_ptr<UpstreamConnection> m_connection;
    core::AttemptReport m_report;
    Timer m_timer;
    Timer m_connectTimer;
    bool m_headSeen = false;
    bool m_framed = false; ///< the end of the answer is known from its head, so that truncation is detectable
    bool m_paused = false;
    bool m_finished = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace jackdawdoor::net
