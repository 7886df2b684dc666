#include "core/keyrefusal.h"

#include "core/httpstatus.h"

namespace jackdawdoor::core {

namespace {

using namespace httpstatus;

Refusal describe(idempotency::KeyRefusal reason)
{
    using idempotency::KeyRefusal;
    switch (reason) {
    case KeyRefusal::Expired:
        return {gone, Disposition::Unknown, RefusalStage::KeyExpired, false, std::nullopt, "the ticket has expired; ask for a new one"};
    case KeyRefusal::Closed:
        return {conflict, Disposition::Unknown, RefusalStage::KeyClosed, false, std::nullopt, "the key was closed; ask for a new ticket"};
    case KeyRefusal::TableFull:
        return {serviceUnavailable,
                Disposition::Unknown,
                RefusalStage::KeyTableFull,
                true,
                std::nullopt,
                "too many keys are open; ask for a new ticket"};
    case KeyRefusal::WitnessUnreachable:
        return {serviceUnavailable,
                Disposition::Unknown,
                RefusalStage::WitnessUnreachable,
                true,
                std::nullopt,
                "the witness did not confirm the key; ask for a new ticket"};
    case KeyRefusal::WitnessRefused:
        return {serviceUnavailable,
                Disposition::Unknown,
                RefusalStage::WitnessUnreachable,
                true,
                std::nullopt,
                "the witness refused the key; ask for a new ticket"};
    case KeyRefusal::Stopping:
        return {serviceUnavailable,
                Disposition::Unknown,
                RefusalStage::Stopping,
                true,
                std::nullopt,
                "the instance is stopping; ask for a new ticket"};
    case KeyRefusal::Paused:
        return {serviceUnavailable,
                Disposition::Unknown,
                RefusalStage::Stopping,
                true,
                std::nullopt,
                "the instance was paused; ask for a new ticket"};
    case KeyRefusal::OutcomeUnknown:
        return {gatewayTimeout,
                Disposition::Unknown,
                RefusalStage::AnswerLost,
                false,
                std::nullopt,
                "the request may have run and will not be run again"};
    case KeyRefusal::KeyReused:
        return {
            conflict, Disposition::Unknown, RefusalStage::Malformed, false, std::nullopt, "the key was used before for another request"};
    }
    return {};
}

} // namespace

Refusal refusalFor(const idempotency::RefuseKey &refuse)
{
    Refusal refusal = describe(refuse.reason);
    const bool notRun = refuse.certainty == idempotency::Certainty::NotRun;
    refusal.disposition = notRun ? Disposition::NotRun : Disposition::Unknown;
    return refusal;
}

Refusal refusalFor(const idempotency::KeyOutcome &outcome)
{
    using idempotency::OutcomeKind;
    switch (outcome.kind) {
    case OutcomeKind::NotRun:
        return {conflict,
                Disposition::NotRun,
                RefusalStage::KeyClosed,
                false,
                std::nullopt,
                "the request did not run and never will under this key"};
    case OutcomeKind::InProgress:
        return {serviceUnavailable,
                Disposition::Unknown,
                RefusalStage::AnswerLost,
                true,
                std::nullopt,
                "the request is in progress; ask again"};
    case OutcomeKind::Completed:
    case OutcomeKind::Unknown:
    case OutcomeKind::NotResponsible:
        break;
    }
    return {gatewayTimeout,
            Disposition::Unknown,
            RefusalStage::HomeUnreachable,
            false,
            std::nullopt,
            "neither home nor witness knows the outcome; the request may have run"};
}

} // namespace jackdawdoor::core
