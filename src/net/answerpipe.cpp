#include "net/answerpipe.h"

namespace jackdawdoor::net {

AnswerPipe::AnswerPipe(std::size_t bound)
    : m_bound(bound)
{
}

std::shared_ptr<AnswerPipe> AnswerPipe::completed(AnswerStart start, std::string body)
{
    auto pipe = std::make_shared<AnswerPipe>();
    start.contentLength = body.size();
    pipe->m_head = std::move(start);
    pipe->m_bytes = std::move(body);
    pipe->m_state = State::Complete;
    return pipe;
}

void AnswerPipe::setProducerHook(Hook hook)
{
    const std::lock_guard lock(m_mutex);
    m_producerHook = std::move(hook);
}

void AnswerPipe::setConsumerHook(const Hook &hook)
{
    {
        const std::lock_guard lock(m_mutex);
        m_consumerHook = hook;
    }
    if (hook) {
        hook();
    }
}

void AnswerPipe::start(AnswerStart start)
{
    Hook hook;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != State::Open || m_head) {
            return;
        }
        m_head = std::move(start);
        hook = m_consumerHook;
    }
    if (hook) {
        hook();
    }
}

bool AnswerPipe::write(std::string_view bytes)
{
    Hook hook;
    bool room = true;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != State::Open || m_consumerClosed) {
            return true;
        }
        // The consumer takes everything at once, so one notification is enough until it does.
        if (m_bytes.empty()) {
            hook = m_consumerHook;
        }
        m_bytes.append(bytes);
        room = m_bytes.size() < m_bound;
    }
    if (hook) {
        hook();
    }
    return room;
}

void AnswerPipe::finish(State state)
{
    Hook hook;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != State::Open) {
            return;
        }
        m_state = state;
        hook = m_consumerHook;
    }
    if (hook) {
        hook();
    }
}

std::optional<AnswerStart> AnswerPipe::head() const
{
    const std::lock_guard lock(m_mutex);
    return m_head;
}

AnswerPipe::Chunk AnswerPipe::take()
{
    Chunk taken;
    Hook hook;
    {
        const std::lock_guard lock(m_mutex);
        taken.bytes.swap(m_bytes);
        taken.state = m_state;
        if (taken.bytes.size() >= m_bound) {
            hook = m_producerHook;
        }
    }
    if (hook) {
        hook();
    }
    return taken;
}

void AnswerPipe::closeConsumer()
{
    Hook hook;
    {
        const std::lock_guard lock(m_mutex);
        m_consumerClosed = true;
        m_bytes.clear();
        m_consumerHook = nullptr;
        hook = m_producerHook;
    }
    if (hook) {
        hook();
    }
}

bool AnswerPipe::hasRoom() const
{
    const std::lock_guard lock(m_mutex);
    return m_consumerClosed || m_bytes.size() < m_bound;
}

bool AnswerPipe::consumerClosed() const
{
    const std::lock_guard lock(m_mutex);
    return m_consumerClosed;
}

} // namespace jackdawdoor::net
