/** Answers of forwarded requests on a PeerLink: relayed from the stream into the pipe with back-pressure. */
#include "net/peerlink.h"

#include <utility>

namespace jackdawdoor::net {

void PeerLink::sendForward(ForwardOrder order)
{
    const bool reachable =
        order.to.id == m_handshake.listener.id && (order.to.incarnation == 0 || order.to.incarnation == m_handshake.listener.incarnation);
    const std::int32_t stream = reachable ? openStream(StreamKind::Forward, "/forward", std::move(order.content)) : -1;
    if (stream < 0) {
        m_onForwardFailed(order.request, true);
        return;
    }
    order.pipe->setProducerHook([this, stream, alive = m_alive, mailbox = m_loop.mailbox()] {
        mailbox->post([this, stream, alive] {
            if (*alive) {
                onRoom(stream);
            }
        });
    });
    m_forwards.emplace(stream, Forward{std::move(order), AnswerStartReader(m_identity.limits.answerHeadBytes)});
}

void PeerLink::onForwardData(std::int32_t stream, std::string_view bytes)
{
    const auto found = m_forwards.find(stream);
    if (found == m_forwards.end()) {
        m_connection->consume(stream, bytes.size());
        return;
    }
    Forward &forward = found->second;
    if (forward.started) {
        writeForward(stream, forward, bytes);
        return;
    }
    const auto state = forward.reader.read(bytes);
    if (state == AnswerStartReader::State::Malformed) {
        m_connection->fail("the head of a forwarded answer is malformed");
        return;
    }
    m_connection->consume(stream, bytes.size());
    if (state == AnswerStartReader::State::Complete) {
        forward.started = true;
        forward.order.pipe->start(forward.reader.start());
        forward.order.pipe->write(forward.reader.rest());
    }
}

void PeerLink::writeForward(std::int32_t stream, Forward &forward, std::string_view bytes)
{
    forward.unconsumed += bytes.size();
    // Without room the bytes stay unconsumed, and the peer stops sending when the stream's window is exhausted.
    if (forward.order.pipe->write(bytes)) {
        m_connection->consume(stream, std::exchange(forward.unconsumed, 0));
    }
}

void PeerLink::onRoom(std::int32_t stream)
{
    const auto found = m_forwards.find(stream);
    if (found == m_forwards.end() || !m_connection) {
        return;
    }
    Forward &forward = found->second;
    if (forward.order.pipe->consumerClosed()) {
        m_connection->cancel(stream);
    } else if (forward.order.pipe->hasRoom()) {
        m_connection->consume(stream, std::exchange(forward.unconsumed, 0));
    }
}

void PeerLink::endForward(std::int32_t stream, bool complete)
{
    const auto found = m_forwards.find(stream);
    const Forward forward = std::move(found->second);
    m_forwards.erase(found);
    forward.order.pipe->setProducerHook(nullptr);
    if (forward.started) {
        forward.order.pipe->finish(complete ? AnswerPipe::State::Complete : AnswerPipe::State::Broken);
    } else if (!forward.order.pipe->consumerClosed()) {
        m_onForwardFailed(forward.order.request, false);
    }
}

} // namespace jackdawdoor::net
