#include "proxy/attempt.h"

#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** Answers up to this size are buffered completely before forwarding, so that an attempt that breaks off can be retried. */
constexpr std::size_t maximumBufferedAnswerBytes = std::size_t{768} * 1024;

bool isReplaced(const net::Header &header, const HeaderNames &names)
{
    return net::equalsIgnoreCase(header.name, names.deadline) || net::equalsIgnoreCase(header.name, names.intendedUpstream)
           || net::equalsIgnoreCase(header.name, "Content-Length") || net::equalsIgnoreCase(header.name, "Expect")
           || net::equalsIgnoreCase(header.name, "Keep-Alive");
}

/** An API key must not reach an upstream, nor an organisation that the caller claims to be. */
bool isWithheld(const net::Header &header, const CallerIdentity &caller, const HeaderNames &names)
{
    return caller.checked
           && (net::equalsIgnoreCase(header.name, "Authorization") || net::equalsIgnoreCase(header.name, names.organisation));
}

/** Header line with the caller's organisation, or nothing. */
std::string organisationLine(const CallerIdentity &caller, const HeaderNames &names)
{
    return caller.organisation.empty() ? std::string{} : names.organisation + ": " + caller.organisation + "\r\n";
}

} // namespace

std::string upstreamRequest(const AttemptRequest &request, const fleet::UpstreamEntry &upstream, const HeaderNames &names)
{
    const MessageHead &head = *request.head;
    std::string out;
    out.reserve(request.body->size() + 1024);
    out += head.method + " " + head.target + " HTTP/1.1\r\n";
    for (const net::Header &header : net::withoutHopByHop(head.headers)) {
        if (!isReplaced(header, names) && !isWithheld(header, request.caller, names)) {
            out += header.name;
            out += ": ";
            out += header.value;
            out += "\r\n";
        }
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline).count();
    out += names.deadline + ": " + std::to_string(milliseconds) + "\r\n";
    out += names.intendedUpstream + ": " + upstream.id.value + "\r\n";
    out += organisationLine(request.caller, names);
    if (head.contentLength.value_or(0) > 0 || head.chunked || head.method == "POST" || head.method == "PUT") {
        out += "Content-Length: " + std::to_string(request.body->size()) + "\r\n";
    }
    out += "\r\n";
    out += *request.body;
    return out;
}

Attempt::Attempt(ConnectionPool &pool, const UpstreamProtocol &protocol, fleet::UpstreamEntry upstream, Hooks hooks)
    : m_pool(pool)
    , m_protocol(protocol)
    , m_upstream(std::move(upstream))
    , m_hooks(std::move(hooks))
{
}

Attempt::~Attempt() = default;

void Attempt::start(TimePoint now, const AttemptRequest &request)
{
    m_started = now;
    m_requestId = request.requestId;
    m_connection = m_pool.take(now, m_upstream, request.maximumIdle, m_result.newConnection);
    OutboundConnectionHooks hooks;
    hooks.onHead = [this](const MessageHead &head) {
        onHead(head);
    };
    hooks.onBody = [this](std::string_view bytes) {
        onBody(bytes);
    };
    hooks.onComplete = [this] {
        onComplete();
    };
    hooks.onFailure = [this](ConnectionFailure failure) {
        onFailure(failure);
    };
    m_connection->send(
        upstreamRequest(request, m_upstream, m_protocol.names), m_requestId, request.head->method == "HEAD", std::move(hooks));
}

void Attempt::onHead(const MessageHead &head)
{
    m_result.head = head;
    m_result.signals = m_protocol.decodeSignals(head.status, head.headers);
    m_hooks.onHead(*this);
}

void Attempt::onBody(std::string_view bytes)
{
    if (m_streaming) {
        m_hooks.onBodyChunk(*this, bytes);
        return;
    }
    if (m_rejected) {
        return;
    }
    m_result.body.append(bytes);
    if (m_result.body.size() <= maximumBufferedAnswerBytes) {
        return;
    }
    m_result.classification = classifyAnswer(m_result.head, m_requestId, m_protocol.names);
    m_streaming = m_hooks.onBufferFull(*this);
    if (!m_streaming) {
        // Only a success can be streamed; without a limit, an endless failure body would fill the memory.
        m_rejected = true;
        m_connection->rejectAnswer();
    }
    m_result.body.clear();
}

void Attempt::onComplete()
{
    if (m_rejected) {
        onFailure(ConnectionFailure::Malformed); // the end of the answer arrived with the bytes that were too many
        return;
    }
    m_result.took = age(net::now());
    m_result.classification = classifyAnswer(m_result.head, m_requestId, m_protocol.names);
    m_pool.put(m_upstream, std::move(m_connection));
    m_hooks.onEnd(*this);
}

void Attempt::onFailure(ConnectionFailure failure)
{
    m_result.took = age(net::now());
    const bool unsent = failure == ConnectionFailure::NotConnected || failure == ConnectionFailure::ConnectTimeout;
    m_result.classification = {unsent ? routing::AttemptEnd::Unreachable : routing::AttemptEnd::Broken,
                               unsent ? fleet::AttemptOutcome::Unreachable : fleet::AttemptOutcome::Failed,
                               failureName(failure)};
    m_result.connectionLost = failure == ConnectionFailure::Reset;
    m_pool.drop(m_upstream);
    m_hooks.onEnd(*this);
}

const fleet::UpstreamEntry &Attempt::upstream() const
{
    return m_upstream;
}

const AttemptResult &Attempt::result() const
{
    return m_result;
}

Duration Attempt::age(TimePoint now) const
{
    return now - m_started;
}

bool Attempt::mayHaveRun() const
{
    return m_connection == nullptr || m_connection->connected();
}

bool Attempt::markOverdue()
{
    return !std::exchange(m_overdue, true);
}

void Attempt::pauseReading(bool paused)
{
    if (m_connection) {
        m_connection->pauseReading(paused);
    }
}

} // namespace jackdawdoor::proxy
