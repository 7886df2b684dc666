#include "net/upstreamattempt.h"

#include "net/receivedheaders.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <array>
#include <utility>

namespace jackdawdoor::net {

namespace {

using core::AttemptEnd;

// Connecting takes about 1 ms; packets were lost if it takes a second. At most half of the attempt timeout leaves time for the answer.
constexpr Duration maximumConnectTime = std::chrono::seconds{1};

evhttp_cmd_type methodType(const std::string &method)
{
    constexpr std::array<std::pair<const char *, evhttp_cmd_type>, 7> types{{{"GET", EVHTTP_REQ_GET},
                                                                             {"POST", EVHTTP_REQ_POST},
                                                                             {"HEAD", EVHTTP_REQ_HEAD},
                                                                             {"PUT", EVHTTP_REQ_PUT},
                                                                             {"DELETE", EVHTTP_REQ_DELETE},
                                                                             {"OPTIONS", EVHTTP_REQ_OPTIONS},
                                                                             {"PATCH", EVHTTP_REQ_PATCH}}};
    const auto *found = std::find_if(types.begin(), types.end(), [&](const auto &entry) {
        return method == entry.first;
    });
    return found == types.end() ? EVHTTP_REQ_GET : found->second;
}

bool hasBody(const std::string &method, int status)
{
    return method != "HEAD" && answerHasBody(status);
}

} // namespace

UpstreamAttempt::UpstreamAttempt(EventLoop &loop,
                                 AttemptOrder order,
                                 std::shared_ptr<const RequestContent> request,
                                 std::shared_ptr<AnswerPipe> pipe,
                                 HeadHook onHead,
                                 FinishedHook onFinished)
    : m_loop(loop)
    , m_order(std::move(order))
    , m_request(std::move(request))
    , m_pipe(std::move(pipe))
    , m_onHead(std::move(onHead))
    , m_onFinished(std::move(onFinished))
    , m_timer(loop,
              [this] {
                  onTimeout();
              })
    , m_connectTimer(loop, [this] {
        if (m_connection && m_connection->nothingSent()) {
            finish(AttemptEnd::ConnectFailed);
        }
    })
{
    m_report.attempt = m_order.attempt;
    m_timer.set(m_order.attemptTimeout);
}

UpstreamAttempt::~UpstreamAttempt()
{
    *m_alive = false;
    m_pipe->setProducerHook(nullptr);
    m_pipe->finish(AnswerPipe::State::Broken);
}

const AttemptOrder &UpstreamAttempt::order() const
{
    return m_order;
}

void UpstreamAttempt::begin(TimePoint now, std::unique_ptr<UpstreamConnection> connection)
{
    m_connection = std::move(connection);
    m_report.newConnection = m_connection->isNew();
    m_report.connectionSilence = m_connection->silence(now);
    m_connection->beginRequest();
    if (m_report.newConnection) {
        m_connectTimer.set(std::min(maximumConnectTime, m_order.attemptTimeout / 2));
    }
    m_pipe->setProducerHook([this, alive = m_alive, mailbox = m_loop.mailbox()] {
        mailbox->post([this, alive] {
            if (*alive) {
                resume();
            }
        });
    });
    sendRequest();
}

void UpstreamAttempt::sendRequest()
{
    evhttp_request *request = evhttp_request_new(&UpstreamAttempt::onDone, this);
    evhttp_request_set_header_cb(request, &UpstreamAttempt::onHeaders);
    evhttp_request_set_chunked_cb(request, &UpstreamAttempt::onChunk);
    Headers headers = m_request->headers;
    setHeader(headers, "Host", m_order.address);
    if (!m_request->body.empty() || countHeaders(headers, "Content-Length") > 0) {
        setHeader(headers, "Content-Length", std::to_string(m_request->body.size()));
    }
    if (m_order.remainingDeadline > Duration{}) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_order.remainingDeadline);
        setHeader(headers, "X-Deadline-Ms", std::to_string(left.count()));
    }
    for (const Header &header : headers) {
        evhttp_add_header(evhttp_request_get_output_headers(request), header.name.c_str(), header.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), m_request->body.data(), m_request->body.size());
    // On failure evhttp frees the request without calling the callbacks.
    if (evhttp_make_request(m_connection->handle(), request, methodType(m_request->method), m_request->target.c_str()) != 0) {
        finishLater(AttemptEnd::ConnectFailed);
    }
}

int UpstreamAttempt::onHeaders(evhttp_request *request, void *attempt)
{
    return static_cast<UpstreamAttempt *>(attempt)->readHead(request) ? 0 : -1;
}

bool UpstreamAttempt::readHead(evhttp_request *request)
{
    const int status = evhttp_request_get_response_code(request);
    if (status == 100) {
        return true;
    }
    const Headers headers = receivedHeaders(request);
    if (m_finished || status < 200 || !isAnswerStatus(status) || framingFault(headers)) {
        return false;
    }
    m_headSeen = true;
    m_connectTimer.cancel();
    m_timer.set(m_order.idleTimeout);
    const auto length = parseNumber(findHeader(headers, "Content-Length"));
    m_framed = length || countHeaders(headers, "Transfer-Encoding") == 1 || !hasBody(m_request->method, status);
    core::AnswerHead head;
    head.attempt = m_order.attempt;
    head.status = status;
    head.contentType = findHeader(headers, "Content-Type");
    head.freshness = m_order.freshnessHeader.empty() ? std::string{} : findHeader(headers, m_order.freshnessHeader);
    head.contentLength = length;
    head.shed = status == 429 || (status == 503 && countHeaders(headers, "Retry-After") > 0);
    AnswerStart start{status, withoutHopByHop(headers), length};
    std::erase_if(start.headers, [](const Header &header) {
        return equalsIgnoreCase(header.name, "Content-Length");
    });
    m_pipe->start(std::move(start));
    m_onHead(head);
    return true;
}

void UpstreamAttempt::onChunk(evhttp_request *request, void *attempt)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    static_cast<UpstreamAttempt *>(attempt)->readBody(bytes);
}

void UpstreamAttempt::readBody(std::string_view bytes)
{
    if (m_finished) {
        return;
    }
    m_report.answerBytes += bytes.size();
    if (m_report.storedBody.size() < m_order.storeAnswerBytes) {
        m_report.storedBody += bytes.substr(0, m_order.storeAnswerBytes - m_report.storedBody.size());
    }
    if (m_order.maximumAnswerBytes > 0 && m_report.answerBytes > m_order.maximumAnswerBytes) {
        finishLater(AttemptEnd::ShortBody);
        return;
    }
    m_timer.set(m_order.idleTimeout);
    if (!m_pipe->write(bytes)) {
        // evhttp enables reading again after this callback, so reading is paused later, from the loop.
        m_loop.post([this, alive = m_alive] {
            if (*alive) {
                pauseIfFull();
            }
        });
    }
}

void UpstreamAttempt::pauseIfFull()
{
    if (m_finished || m_paused || m_pipe->hasRoom()) {
        return;
    }
    m_paused = true;
    m_timer.cancel();
    bufferevent_disable(m_connection->buffers(), EV_READ);
}

void UpstreamAttempt::resume()
{
    if (m_finished || !m_paused || !m_pipe->hasRoom()) {
        return;
    }
    m_paused = false;
    m_timer.set(m_order.idleTimeout);
    bufferevent_enable(m_connection->buffers(), EV_READ);
}

void UpstreamAttempt::onDone(evhttp_request *request, void *attempt)
{
    auto *self = static_cast<UpstreamAttempt *>(attempt);
    const bool arrived = request != nullptr && evhttp_request_get_response_code(request) != 0 && self->m_headSeen;
    self->finishLater(arrived && self->m_framed ? AttemptEnd::Complete : self->brokenEnd());
}

AttemptEnd UpstreamAttempt::brokenEnd() const
{
    if (m_headSeen) {
        return AttemptEnd::ShortBody;
    }
    // Only a new connection that sent no byte proves that the upstream received nothing.
    return !m_connection || (m_connection->isNew() && m_connection->nothingSent()) ? AttemptEnd::ConnectFailed : AttemptEnd::Reset;
}

void UpstreamAttempt::onTimeout()
{
    const bool nothingSent = !m_connection || (m_connection->isNew() && m_connection->nothingSent());
    finish(nothingSent ? AttemptEnd::ConnectFailed : AttemptEnd::Timeout);
}

void UpstreamAttempt::cancel()
{
    finish(AttemptEnd::Cancelled);
}

void UpstreamAttempt::finishLater(AttemptEnd end)
{
    m_loop.post([this, end, alive = m_alive] {
        if (*alive) {
            finish(end);
        }
    });
}

void UpstreamAttempt::finish(AttemptEnd end)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_timer.cancel();
    m_connectTimer.cancel();
    m_report.end = end;
    if (end == AttemptEnd::Complete) {
        m_connection->noteAnswer(now());
    }
    m_pipe->finish(end == AttemptEnd::Complete ? AnswerPipe::State::Complete : AnswerPipe::State::Broken);
    const FinishedHook hook = std::exchange(m_onFinished, {});
    hook(m_report);
}

std::unique_ptr<UpstreamConnection> UpstreamAttempt::takeConnection()
{
    return std::move(m_connection);
}

} // namespace jackdawdoor::net
