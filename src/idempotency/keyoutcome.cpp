#include "idempotency/keyoutcome.h"

namespace jackdawdoor::idempotency {

int outcomePrecedence(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Completed:
        return 3;
    case OutcomeKind::NotRun:
        return 2;
    case OutcomeKind::Unknown:
        return 1;
    case OutcomeKind::InProgress:
    case OutcomeKind::NotResponsible:
        break;
    }
    return 0;
}

} // namespace jackdawdoor::idempotency
