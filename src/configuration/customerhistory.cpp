#include "configuration/customerhistory.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::configuration {

namespace {

/** Approximate memory of a waiting publish besides its body. */
constexpr std::size_t waitingOverheadBytes = 256;

} // namespace

CustomerHistory::CustomerHistory(CustomerId customer)
    : m_customer(std::move(customer))
{
}

const std::optional<CustomerState> &CustomerHistory::state() const
{
    return m_state;
}

const PolicyPointer &CustomerHistory::policy() const
{
    return m_policy;
}

Offset CustomerHistory::windowStart(Offset readerWindow) const
{
    return std::max(readerWindow, m_windowStart);
}

bool CustomerHistory::canFollowLog(Offset readerWindow) const
{
    return m_state && m_state->asOf >= windowStart(readerWindow);
}

Offset CustomerHistory::effectiveAsOf(Offset readerWindow, Offset next) const
{
    if (!m_state) {
        return 0;
    }
    return canFollowLog(readerWindow) ? std::max(m_state->asOf, next) : m_state->asOf;
}

std::vector<PublishDecision> CustomerHistory::publish(Offset offset, Publish publish, Offset readerWindow, const ContractCompiler &compile)
{
    if (!canFollowLog(readerWindow)) {
        m_waitingBytes += waitingOverheadBytes + (publish.body ? publish.body->size() : 0);
        m_waiting.push_back(Waiting{offset, std::move(publish)});
        return {};
    }
    // A state merged from a peer may be ahead of this reader.
    if (offset < m_state->asOf) {
        return {};
    }
    return {decide(offset, publish, compile)};
}

PublishDecision CustomerHistory::decide(Offset offset, const Publish &publish, const ContractCompiler &compile)
{
    PublishDecision decision{offset, m_customer, publish.publishId, PublishStatus::LostRace, publish.baseVersion, m_state->version, {}};
    m_state->asOf = offset + 1;
    if (publish.baseVersion != m_state->version) {
        return decision;
    }
    PolicyPointer policy;
    if (publish.body) {
        const Compiled compiled = compileBody(*publish.body, compile);
        if (!compiled.policy) {
            decision.status = PublishStatus::Invalid;
            decision.reason = compiled.reason;
            return decision;
        }
        policy = compiled.policy;
    }
    m_state->version = offset + 1;
    m_state->body = publish.body;
    m_policy = std::move(policy);
    decision.status = PublishStatus::Accepted;
    decision.version = m_state->version;
    return decision;
}

CustomerHistory::Compiled CustomerHistory::compileBody(const std::string &body, const ContractCompiler &compile)
{
    if (body.size() > maximumBodyBytes) {
        return {nullptr, "the contract is larger than " + std::to_string(maximumBodyBytes) + " bytes"};
    }
    const Result<contract::CustomerPolicy> policy = compile(body);
    if (!policy) {
        return {nullptr, policy.error().message()};
    }
    return {std::make_shared<const contract::CustomerPolicy>(policy.value()), {}};
}

std::vector<PublishDecision> CustomerHistory::merge(const CustomerState &state, Offset readerWindow, const ContractCompiler &compile)
{
    if (m_state && (state.version < m_state->version || (state.version == m_state->version && state.asOf <= m_state->asOf))) {
        return {};
    }
    if (m_state && state.version == m_state->version) {
        m_state->asOf = state.asOf;
        return replayWaiting(readerWindow, compile);
    }
    PolicyPointer policy;
    if (state.body) {
        policy = compileBody(*state.body, compile).policy;
        if (!policy) {
            return {};
        }
    }
    const Offset decidedBefore = m_state ? m_state->asOf : 0;
    m_state = state;
    m_state->asOf = std::max(state.asOf, decidedBefore);
    m_policy = std::move(policy);
    return replayWaiting(readerWindow, compile);
}

std::vector<PublishDecision> CustomerHistory::replayWaiting(Offset readerWindow, const ContractCompiler &compile)
{
    if (m_waiting.empty() || !canFollowLog(readerWindow)) {
        return {};
    }
    std::vector<PublishDecision> decisions;
    for (const Waiting &waiting : std::exchange(m_waiting, {})) {
        if (waiting.offset >= m_state->asOf) {
            decisions.push_back(decide(waiting.offset, waiting.publish, compile));
        }
    }
    m_waitingBytes = 0;
    return decisions;
}

void CustomerHistory::dropWaiting(Offset from)
{
    m_waiting.clear();
    m_waitingBytes = 0;
    m_windowStart = std::max(m_windowStart, from);
}

void CustomerHistory::startWindow(Offset start)
{
    std::vector<Waiting> kept = std::move(m_waiting);
    std::erase_if(kept, [start](const Waiting &waiting) {
        return waiting.offset < start;
    });
    m_waiting.clear();
    m_waitingBytes = 0;
    for (Waiting &waiting : kept) {
        m_waitingBytes += waitingOverheadBytes + (waiting.publish.body ? waiting.publish.body->size() : 0);
        m_waiting.push_back(std::move(waiting));
    }
}

std::size_t CustomerHistory::waitingBytes() const
{
    return m_waitingBytes;
}

void CustomerHistory::advanceAsOf(Offset readerWindow, Offset next)
{
    if (m_state) {
        m_state->asOf = effectiveAsOf(readerWindow, next);
    }
}

} // namespace jackdawdoor::configuration
