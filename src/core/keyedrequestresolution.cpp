/* KeyedRequestHandler: outcome resolution for keys of other homes. */
#include "core/httpstatus.h"
#include "core/keyedrequesthandler.h"
#include "core/keyrefusal.h"

#include <utility>

namespace jackdawdoor::core {

using namespace idempotency;

namespace {

/** Resolver timeouts, well above the round trip between data centres of a region. */
constexpr ResolverTimeouts resolverTimes{std::chrono::milliseconds{600}, std::chrono::milliseconds{600}, std::chrono::milliseconds{150}};

} // namespace

bool KeyedRequestHandler::homeIsGone(const InstanceRef &home) const
{
    const membership::Member *member = m_membership.view()->find(home.id);
    return member == nullptr || member->ref.incarnation > home.incarnation || member->state == membership::MemberState::Failed;
}

void KeyedRequestHandler::startResolution(TimePoint now, PreparedRequest prepared, const IdempotencyKey &key)
{
    const RequestId id = prepared.request.id;
    // A forwarded request was sent to the address of its home. This process is not the home, so the home is gone.
    const bool gone = prepared.request.forwarded || homeIsGone(key.ticket.home);
    OutcomeResolver resolver(key, prepared.request.fingerprint, ResolverPurpose::Resend, resolverTimes);
    auto &resolution = m_resolutions.emplace(id, Resolution{std::move(prepared), std::move(resolver)}).first->second;
    applyResolver(now, id, resolution.resolver.start(now, gone));
}

void KeyedRequestHandler::applyResolver(TimePoint now, RequestId id, const ResolverStep &step)
{
    m_outbox.sendAll(step.messages);
    const auto found = m_resolutions.find(id);
    if (const auto *forward = std::get_if<ForwardRequest>(&step.decision)) {
        found->second.forwarded = true;
        m_outbox.add(ForwardToPeer{id, forward->home, m_membership.addressOf(forward->home)});
        return;
    }
    if (const auto *resolved = std::get_if<Resolved>(&step.decision)) {
        const PreparedRequest prepared = std::move(found->second.prepared);
        m_resolutions.erase(found);
        answerOutcome(now, prepared, resolved->outcome);
    }
}

void KeyedRequestHandler::answerOutcome(TimePoint now, const PreparedRequest &prepared, const KeyOutcome &outcome)
{
    if (outcome.kind == OutcomeKind::Completed) {
        answerStored(prepared, outcome.answer);
    } else {
        m_requests.refuse(now, prepared, refusalFor(outcome));
    }
}

void KeyedRequestHandler::onOutcomeQuery(TimePoint now, RequestId query, const std::string &text)
{
    PreparedRequest prepared;
    prepared.request.id = query;
    prepared.request.key = text;
    prepared.arrived = now;
    prepared.deadline = now;
    const auto key = IdempotencyKey::decodeFromCaller(text, m_authenticate);
    if (!key) {
        m_requests.refuse(now,
                          prepared,
                          {httpstatus::badRequest, Disposition::Unknown, RefusalStage::Malformed, false, std::nullopt, key.error().reason});
        return;
    }
    prepared.request.service = key.value().ticket.service;
    if (key.value().ticket.home == m_self) {
        answerOutcome(now, prepared, m_home.outcomeOf(now, key.value()));
        return;
    }
    OutcomeResolver resolver(key.value(), 0, ResolverPurpose::OutcomeQuery, resolverTimes);
    auto &resolution = m_resolutions.emplace(query, Resolution{std::move(prepared), std::move(resolver)}).first->second;
    applyResolver(now, query, resolution.resolver.start(now, homeIsGone(key.value().ticket.home)));
}

void KeyedRequestHandler::onForwardFailed(TimePoint now, RequestId request)
{
    const auto found = m_resolutions.find(request);
    if (found != m_resolutions.end()) {
        found->second.forwarded = false;
        applyResolver(now, request, found->second.resolver.onForwardFailed(now));
    }
}

} // namespace jackdawdoor::core
