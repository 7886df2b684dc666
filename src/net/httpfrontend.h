/** Task that serves HTTP to callers or operators. */
#pragma once

#include "base/error.h"
#include "net/eventloop.h"
#include "net/frontend.h"
#include "net/httpserver.h"
#include "net/serverexchange.h"
#include "settings/settings.h"

#include <atomic>
#include <map>
#include <memory>

namespace jackdawdoor::net {

/** Front end with an evhttp listener. Requests with ambiguous framing are refused here and never signalled. */
class HttpFrontEnd : public FrontEnd
{
public:
    explicit HttpFrontEnd(RequestIdSource nextRequestId, ServerLimits limits = {});
    ~HttpFrontEnd() override; ///< closes all connections
    HttpFrontEnd(const HttpFrontEnd &) = delete;
    HttpFrontEnd &operator=(const HttpFrontEnd &) = delete;

    /** Binds the listener; the result has the bound port. */
    Result<settings::Endpoint> listen(const settings::Endpoint &endpoint);

    /** Starts the task. Connect the signals first. */
    void start();

    void answer(core::RequestId request, std::shared_ptr<AnswerPipe> pipe) override;

    /** From now on each answer carries Connection: close, so that callers reconnect to another instance. */
    void closeAfterAnswers();

private:
    struct OpenRequest {
        std::unique_ptr<ServerExchange> exchange;
        std::shared_ptr<AnswerPipe> pipe;
        bool started = false;
        bool headOnly = false;
        std::optional<std::uint64_t> contentLength; ///< the answer's Content-Length
        std::uint64_t sent = 0;
    };

    void accept(evhttp_request *request);
    void begin(core::RequestId request, const std::shared_ptr<AnswerPipe> &pipe);
    void pump(core::RequestId request);
    bool startAnswer(OpenRequest &open);
    void finish(core::RequestId request, RequestEnd end);

    RequestIdSource m_nextRequestId;
    ServerLimits m_limits;
    EventLoop m_loop;
    std::map<core::RequestId, OpenRequest> m_open;
    std::unique_ptr<HttpServer> m_server;
    std::atomic<bool> m_closing = false;
};

} // namespace jackdawdoor::net
