#include "idempotency/homeentry.h"

namespace jackdawdoor::idempotency {

KeyOutcome HomeEntry::outcome() const
{
    switch (state) {
    case KeyState::Completed:
        return KeyOutcome{OutcomeKind::Completed, fingerprint, answer};
    case KeyState::Unknown:
        return KeyOutcome{OutcomeKind::Unknown, fingerprint, {}};
    case KeyState::Closed:
        return KeyOutcome{OutcomeKind::NotRun, fingerprint, {}};
    case KeyState::Pending:
    case KeyState::Ready:
    case KeyState::Running:
    case KeyState::Idle:
        break;
    }
    return KeyOutcome{OutcomeKind::InProgress, fingerprint, {}};
}

} // namespace jackdawdoor::idempotency
