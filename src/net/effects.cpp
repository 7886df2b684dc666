/** Implementation of the core's effects by CoreDriver. */
#include "net/coredriver.h"

#include "net/refusalanswer.h"

#include <algorithm>

namespace jackdawdoor::net {

void CoreDriver::giveAnswer(core::RequestId request, std::shared_ptr<AnswerPipe> pipe)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end()) {
        pipe->closeConsumer();
        return;
    }
    if (!found->second.answered) {
        found->second.answered = true;
        found->second.front->answer(request, std::move(pipe));
    }
}

void CoreDriver::dispatch(core::RequestId request, const AttemptOrder &order)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end()) {
        // The caller disconnected while the core was deciding; the core still needs a report to release the slot.
        core::AttemptReport report;
        report.attempt = order.attempt;
        report.end = core::AttemptEnd::Cancelled;
        m_loop.post([this, report] {
            onAttemptFinished(report);
        });
        return;
    }
    found->second.hasContract = true;
    Attempt attempt;
    attempt.request = request;
    attempt.pipe = std::make_shared<AnswerPipe>();
    attempt.dispatched = now();
    m_tasks.upstreams.start(order, found->second.upstreamContent, attempt.pipe);
    m_attempts.emplace(order.attempt, std::move(attempt));
}

void CoreDriver::cancel(core::AttemptId attempt)
{
    m_tasks.upstreams.cancel(attempt);
}

void CoreDriver::relayAnswer(core::RequestId request, core::AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    const auto asked = m_requests.find(request);
    if (found == m_attempts.end() || asked == m_requests.end()) {
        return;
    }
    const Duration upstreamTime = found->second.headArrived - found->second.dispatched;
    m_tasks.metrics.observeAddedLatency(now() - asked->second.arrived - upstreamTime);
    giveAnswer(request, found->second.pipe);
}

void CoreDriver::relayStored(core::RequestId request, const StoredAnswer &answer)
{
    giveAnswer(request, storedAnswer(answer));
}

void CoreDriver::refuse(core::RequestId request, const core::Refusal &refusal)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end()) {
        return;
    }
    found->second.refused = true;
    found->second.hasContract = found->second.hasContract || refusal.stage != core::RefusalStage::NoContract;
    m_tasks.metrics.countRefusal(core::stageName(refusal.stage));
    giveAnswer(request, refusalAnswer(refusal));
}

void CoreDriver::forward(core::RequestId request, const InstanceRef &peer, const std::string &address)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || !found->second.content) {
        return;
    }
    Request &asked = found->second;
    asked.forwarded = true;
    asked.hasContract = true;
    RequestContent content = *asked.content;
    if (asked.head.deadline > Duration{}) {
        const Duration left = std::max<Duration>(asked.head.deadline - (now() - asked.arrived), std::chrono::milliseconds{1});
        setHeader(content.headers, "X-Deadline-Ms", std::to_string(std::chrono::ceil<std::chrono::milliseconds>(left).count()));
    }
    auto pipe = std::make_shared<AnswerPipe>();
    m_tasks.peers.forward(request, peer, address, content, pipe);
    // The link releases the pipe when the answer has ended, which may be before its head is processed here.
    asked.forwardedAnswer = pipe;
    // Until the head arrives the core may still choose another upstream or instance, so the caller is connected to the pipe only then.
    pipe->setConsumerHook([this, request, mailbox = m_loop.mailbox()] {
        mailbox->post([this, request] {
            onForwardHead(request);
        });
    });
}

void CoreDriver::onForwardHead(core::RequestId request)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end() && found->second.forwardedAnswer && found->second.forwardedAnswer->head()) {
        giveAnswer(request, std::move(found->second.forwardedAnswer));
    }
}

void CoreDriver::sendPeerMessage(const InstanceRef &peer, const std::string &address, std::string message)
{
    m_tasks.peers.send(peer, address, std::move(message));
}

void CoreDriver::readLog(std::uint64_t fromOffset, std::uint32_t maximumRecords)
{
    m_tasks.platform.readLog(fromOffset, maximumRecords);
}

void CoreDriver::appendLog(std::string record)
{
    m_tasks.platform.append(record);
}

void CoreDriver::logDecision(const telemetry::DecisionLine &decision)
{
    m_tasks.metrics.countDecision(decision.kind);
    if (decision.kind == "eject") {
        m_tasks.metrics.countEjection(decision.customer);
    }
    telemetry::logDecision(decision);
}

void CoreDriver::stopFinished()
{
    m_stopFinished = true;
}

} // namespace jackdawdoor::net
