#include "net/httpfrontend.h"

#include "net/refusalanswer.h"

namespace jackdawdoor::net {

namespace {

// Together with the pipe's bound this limits the memory that the answer of a slow caller occupies.
constexpr std::size_t maximumUnsentBytes = std::size_t{128} * 1024;

core::Refusal lostAnswer()
{
    core::Refusal refusal;
    refusal.status = 502;
    refusal.disposition = core::Disposition::Unknown;
    refusal.stage = core::RefusalStage::AnswerLost;
    refusal.reason = "the answer was lost on its way";
    return refusal;
}

} // namespace

HttpFrontEnd::HttpFrontEnd(RequestIdSource nextRequestId, ServerLimits limits)
    : m_nextRequestId(std::move(nextRequestId))
    , m_limits(limits)
{
}

HttpFrontEnd::~HttpFrontEnd()
{
    m_loop.call([this] {
        for (auto &entry : m_open) {
            if (entry.second.pipe) {
                entry.second.pipe->closeConsumer();
            }
        }
        m_open.clear();
        m_server.reset();
    });
    m_loop.stop();
}

Result<settings::Endpoint> HttpFrontEnd::listen(const settings::Endpoint &endpoint)
{
    m_server = std::make_unique<HttpServer>(m_loop, m_limits, [this](evhttp_request *request) {
        accept(request);
    });
    return m_server->listen(endpoint);
}

void HttpFrontEnd::start()
{
    m_loop.start();
}

void HttpFrontEnd::answer(core::RequestId request, std::shared_ptr<AnswerPipe> pipe)
{
    m_loop.post([this, request, pipe = std::move(pipe)] {
        begin(request, pipe);
    });
}

void HttpFrontEnd::closeAfterAnswers()
{
    m_closing = true;
}

void HttpFrontEnd::accept(evhttp_request *request)
{
    const core::RequestId number = m_nextRequestId();
    auto exchange = std::make_unique<ServerExchange>(m_loop, request, m_server->limits(), [this, number] {
        finish(number, RequestEnd::CallerGone);
    });
    if (const auto fault = framingFault(exchange->receivedHeaders())) {
        // The start of the next request cannot be determined, so the connection is closed.
        exchange->reply(400, {{"Content-Type", "application/json"}, {"Connection", "close"}}, refusalJson(malformedRefusal(*fault)));
        return;
    }
    const auto content = std::make_shared<const RequestContent>(exchange->content());
    OpenRequest &open = m_open[number];
    open.exchange = std::move(exchange);
    open.headOnly = content->method == "HEAD";
    signalRequest.emit(number, content);
}

void HttpFrontEnd::begin(core::RequestId request, const std::shared_ptr<AnswerPipe> &pipe)
{
    const auto found = m_open.find(request);
    if (found == m_open.end() || found->second.pipe) {
        pipe->closeConsumer();
        return;
    }
    found->second.pipe = pipe;
    pipe->setConsumerHook([this, request, mailbox = m_loop.mailbox()] {
        mailbox->post([this, request] {
            pump(request);
        });
    });
}

bool HttpFrontEnd::startAnswer(OpenRequest &open)
{
    const auto head = open.pipe->head();
    if (!head) {
        return false;
    }
    open.started = true;
    Headers headers = head->headers;
    if (m_closing) {
        headers.push_back({"Connection", "close"});
    }
    if (!open.headOnly && head->status != 204 && head->status != 304) {
        open.contentLength = head->contentLength;
    }
    open.exchange->start(head->status, headers, head->contentLength);
    return true;
}

void HttpFrontEnd::pump(core::RequestId request)
{
    const auto found = m_open.find(request);
    if (found == m_open.end() || found->second.exchange->closed()) {
        return;
    }
    OpenRequest &open = found->second;
    if (!open.started && !startAnswer(open)) {
        if (open.pipe->take().state != AnswerPipe::State::Open) {
            open.exchange->reply(502, {{"Content-Type", "application/json"}}, refusalJson(lostAnswer()));
            finish(request, RequestEnd::Broken);
        }
        return;
    }
    if (open.exchange->unsent() >= maximumUnsentBytes) {
        return;
    }
    const AnswerPipe::Chunk taken = open.pipe->take();
    open.sent += taken.bytes.size();
    if (!taken.bytes.empty()) {
        open.exchange->send(taken.bytes, [this, request] {
            pump(request);
        });
    }
    if (taken.state == AnswerPipe::State::Open) {
        return;
    }
    const bool whole = !open.contentLength || *open.contentLength == open.sent;
    if (taken.state == AnswerPipe::State::Complete && whole) {
        // The request ends when its last byte was handed to the system, so that a graceful shutdown truncates no answer.
        open.exchange->end([this, request, mailbox = m_loop.mailbox()](bool sent) {
            mailbox->post([this, request, sent] {
                finish(request, sent ? RequestEnd::Answered : RequestEnd::CallerGone);
            });
        });
    } else {
        open.exchange->abort();
        finish(request, RequestEnd::Broken);
    }
}

void HttpFrontEnd::finish(core::RequestId request, RequestEnd end)
{
    const auto found = m_open.find(request);
    if (found == m_open.end()) {
        return;
    }
    const OpenRequest open = std::move(found->second);
    m_open.erase(found);
    if (open.pipe) {
        open.pipe->closeConsumer();
    }
    signalEnd.emit(request, end);
}

} // namespace jackdawdoor::net
