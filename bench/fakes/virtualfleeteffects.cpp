/* VirtualFleet: execution of the core's effects. */
#include "core/peermessage.h"
#include "fakes/virtualfleet.h"

#include <utility>

namespace jackdawdoor::fakes {

namespace {

constexpr Duration upstreamDelay = std::chrono::microseconds{300};
constexpr Duration logDelay = std::chrono::milliseconds{5};
constexpr Duration forwardTimeout = std::chrono::seconds{2};
constexpr Duration bodyTime = std::chrono::milliseconds{1};
constexpr std::uint64_t answerBytes = 2048;

} // namespace

void VirtualFleet::carryOut(std::size_t index, const core::DispatchAttempt &effect)
{
    Node &node = m_nodes[index];
    ++attempts;
    RunningAttempt attempt;
    attempt.request = effect.request;
    attempt.upstream = effect.upstream;
    attempt.order = effect;
    node.attempts[effect.attempt] = std::move(attempt);
    const std::uint64_t generation = node.generation;
    const core::AttemptId id = effect.attempt;
    if (m_upstreamCuts.count({index, effect.upstream}) > 0 || takesDeadConnection(index, effect)) {
        events.after(effect.attemptTimeout, [this, index, generation, id] {
            endAttempt(index, generation, id, core::AttemptEnd::Timeout);
        });
        return;
    }
    const auto pending = node.pending.find(effect.request);
    const core::CallerRequest request = pending == node.pending.end() ? core::CallerRequest{} : pending->second.request;
    // A request that was sent reaches the upstream and runs even if the instance crashes meanwhile.
    events.after(upstreamDelay, [this, index, generation, id, upstream = effect.upstream, request] {
        const UpstreamAnswer answer = upstreams.at(upstream).accept(events.now(), request.key, request.fingerprint, random);
        if (answer.end == core::AttemptEnd::Reset) {
            events.after(answer.latency, [this, upstream] {
                crashUpstream(upstream);
            });
        }
        onAccepted(index, generation, id, upstream, answer);
    });
}

bool VirtualFleet::takesDeadConnection(std::size_t index, const core::DispatchAttempt &effect)
{
    const auto dead = m_deadConnections.find({index, effect.upstream});
    const auto proof = m_lastAnswer.find({index, effect.upstream});
    const bool reuses = proof != m_lastAnswer.end() && events.now() - proof->second <= effect.maximumSilence;
    if (dead == m_deadConnections.end() || dead->second == 0 || !reuses) {
        return false;
    }
    --dead->second;
    return true;
}

void VirtualFleet::onAccepted(std::size_t index,
                              std::uint64_t generation,
                              core::AttemptId id,
                              const UpstreamId &upstream,
                              const UpstreamAnswer &answer)
{
    Node &node = m_nodes[index];
    const auto found = node.attempts.find(id);
    if (node.generation != generation || found == node.attempts.end()) {
        orphan(upstream, answer);
        return;
    }
    RunningAttempt &attempt = found->second;
    attempt.answer = answer;
    attempt.reachedUpstream = answer.end != core::AttemptEnd::ConnectFailed;
    if (answer.end == core::AttemptEnd::Reset) {
        return;
    }
    const Duration timeout = attempt.order.attemptTimeout - upstreamDelay;
    if (!answer.head || answer.latency > timeout) {
        const bool refused = answer.end == core::AttemptEnd::ConnectFailed;
        events.after(refused ? upstreamDelay : timeout, [this, index, generation, id, refused] {
            endAttempt(index, generation, id, refused ? core::AttemptEnd::ConnectFailed : core::AttemptEnd::Timeout);
        });
        return;
    }
    events.after(answer.latency + upstreamDelay, [this, index, generation, id, answer] {
        sendHead(index, generation, id, answer);
    });
}

void VirtualFleet::orphan(const UpstreamId &upstream, const UpstreamAnswer &answer)
{
    if (answer.end == core::AttemptEnd::ConnectFailed || answer.end == core::AttemptEnd::Reset) {
        return;
    }
    events.after(answer.latency, [this, upstream] {
        upstreams.at(upstream).release();
    });
}

void VirtualFleet::sendHead(std::size_t index, std::uint64_t generation, core::AttemptId id, const UpstreamAnswer &answer)
{
    m_lastAnswer[{index, m_nodes[index].attempts.contains(id) ? m_nodes[index].attempts.at(id).upstream : UpstreamId{}}] = events.now();
    core::AnswerHead head;
    head.attempt = id;
    head.status = answer.status;
    head.contentType = "application/json";
    head.freshness = answer.stale ? "86400" : "0";
    head.contentLength = answerBytes;
    head.shed = answer.shed;
    input(index, generation, [this, head](core::Instance &core) {
        return core.onAnswerHead(events.now(), head);
    });
    events.after(bodyTime, [this, index, generation, id, end = answer.end] {
        endAttempt(index, generation, id, end);
    });
}

void VirtualFleet::crashUpstream(const UpstreamId &upstream)
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        Node &node = m_nodes[index];
        std::vector<core::AttemptId> broken;
        for (const auto &[id, attempt] : node.attempts) {
            if (attempt.upstream == upstream && attempt.reachedUpstream) {
                broken.push_back(id);
            }
        }
        for (const core::AttemptId id : broken) {
            endAttempt(index, node.generation, id, core::AttemptEnd::Reset);
        }
    }
    upstreams.at(upstream).running = 0;
}

void VirtualFleet::endAttempt(std::size_t index, std::uint64_t generation, core::AttemptId id, core::AttemptEnd end)
{
    Node &node = m_nodes[index];
    const auto found = node.attempts.find(id);
    if (node.generation != generation || found == node.attempts.end()) {
        return;
    }
    const RunningAttempt attempt = std::move(found->second);
    node.attempts.erase(found);
    FakeUpstream &upstream = upstreams.at(attempt.upstream);
    if (attempt.reachedUpstream && end != core::AttemptEnd::Reset) {
        upstream.release();
    }
    core::AttemptReport report;
    report.attempt = id;
    report.end = end;
    report.newConnection = attempt.order.maximumSilence == Duration{0};
    report.answerBytes = end == core::AttemptEnd::Complete ? answerBytes : answerBytes / 2;
    report.storedBody = std::string(attempt.order.storeAnswerBytes > 0 ? answerBytes : 0, 'x');
    const auto pending = node.pending.find(attempt.request);
    if (pending != node.pending.end() && pending->second.relaying && pending->second.attempt == id) {
        CallerAnswer result;
        result.kind = end == core::AttemptEnd::Complete ? CallerAnswer::Kind::Answered : CallerAnswer::Kind::Incomplete;
        result.status = attempt.answer.status;
        result.stale = attempt.answer.stale;
        answer(index, attempt.request, result);
    }
    input(index, generation, [this, report](core::Instance &core) {
        return core.onAttemptFinished(events.now(), report);
    });
}

void VirtualFleet::carryOut(std::size_t index, const core::CancelAttempt &effect)
{
    events.after(Duration{1}, [this, index, generation = m_nodes[index].generation, id = effect.attempt] {
        endAttempt(index, generation, id, core::AttemptEnd::Cancelled);
    });
}

void VirtualFleet::carryOut(std::size_t index, const core::RelayAnswer &effect)
{
    const auto pending = m_nodes[index].pending.find(effect.request);
    if (pending != m_nodes[index].pending.end()) {
        pending->second.relaying = true;
        pending->second.attempt = effect.attempt;
    }
}

void VirtualFleet::carryOut(std::size_t index, const core::RelayStored &effect)
{
    CallerAnswer result;
    result.kind = CallerAnswer::Kind::Answered;
    result.status = effect.status;
    answer(index, effect.request, result);
}

void VirtualFleet::carryOut(std::size_t index, const core::Refuse &effect)
{
    CallerAnswer result;
    result.kind = CallerAnswer::Kind::Refused;
    result.status = effect.refusal.status;
    result.refusal = effect.refusal;
    answer(index, effect.request, result);
}

void VirtualFleet::answer(std::size_t index, core::RequestId request, CallerAnswer result)
{
    Node &node = m_nodes[index];
    const auto pending = node.pending.find(request);
    if (pending == node.pending.end()) {
        return;
    }
    result.latency = events.now() - pending->second.sent;
    const AnswerHandler handler = std::move(pending->second.handler);
    node.pending.erase(pending);
    handler(result);
}

void VirtualFleet::carryOut(std::size_t index, const core::ForwardToPeer &effect)
{
    const std::size_t peer = indexOf(effect.peer.id);
    const std::uint64_t generation = m_nodes[index].generation;
    const core::RequestId id = effect.request;
    const auto fail = [this, index, generation, id] {
        input(index, generation, [this, id](core::Instance &core) {
            return core.onForwardFailed(events.now(), id);
        });
    };
    const auto pending = m_nodes[index].pending.find(id);
    if (pending == m_nodes[index].pending.end()) {
        return;
    }
    core::CallerRequest forwarded = pending->second.request;
    forwarded.forwarded = true;
    if (peer >= m_nodes.size() || !reaches(index, peer) || !reaches(peer, index)) {
        events.after(forwardTimeout, fail);
        return;
    }
    events.after(delay(), [this, index, peer, generation, id, forwarded, fail] {
        request(peer, forwarded, [this, index, generation, id, fail](const CallerAnswer &result) {
            if (result.kind == CallerAnswer::Kind::Lost || m_nodes[index].generation != generation) {
                fail();
            } else {
                answer(index, id, result);
            }
        });
    });
}

void VirtualFleet::carryOut(std::size_t index, const core::SendPeerMessage &effect)
{
    const std::string bytes = core::encodePeerMessage(effect.message);
    ++controlMessages;
    controlBytes += bytes.size();
    controlBytesByKind[effect.message.index()] += bytes.size();
    const std::size_t peer = indexOf(effect.peer.id);
    if (peer >= m_nodes.size() || !reaches(index, peer) || uniform(random) < network.lossShare) {
        return;
    }
    const InstanceRef from = m_nodes[index].member.ref;
    const Incarnation expected = effect.peer.incarnation;
    events.after(delay(), [this, peer, from, expected, bytes] {
        const Node &receiver = m_nodes[peer];
        if (expected != 0 && expected != receiver.member.ref.incarnation) {
            return;
        }
        input(peer, receiver.generation, [this, from, bytes](core::Instance &core) {
            const auto message = core::decodePeerMessage(bytes);
            return message ? core.onPeerMessage(events.now(), from, message.value()) : core::Effects{};
        });
    });
}

void VirtualFleet::carryOut(std::size_t index, const core::ReadLog &effect)
{
    events.after(logDelay, [this, index, generation = m_nodes[index].generation, effect] {
        const auto page = log.read(events.now(), effect.fromOffset, effect.maximumRecords);
        input(index, generation, [this, page](core::Instance &core) {
            return page ? core.onLogPage(events.now(), *page) : core.onLogFailed(events.now(), {"read log", "fake log", "down"});
        });
    });
}

void VirtualFleet::carryOut(std::size_t, const core::AppendLog &effect)
{
    events.after(logDelay, [this, effect] {
        log.append(events.now(), effect.record);
    });
}

void VirtualFleet::carryOut(std::size_t index, const core::LogDecision &effect)
{
    if (onDecision) {
        onDecision(events.now(), m_nodes[index].member.ref.id, effect);
    }
}

void VirtualFleet::carryOut(std::size_t index, const core::StopFinished &)
{
    Node &node = m_nodes[index];
    node.stopped = true;
    crash(index);
}

} // namespace jackdawdoor::fakes
