#include "net/decisioncore.h"

namespace jackdawdoor::net {

std::string attemptEndName(core::AttemptEnd end)
{
    switch (end) {
    case core::AttemptEnd::Complete:
        return "complete";
    case core::AttemptEnd::ShortBody:
        return "short-body";
    case core::AttemptEnd::ConnectFailed:
        return "connect-failed";
    case core::AttemptEnd::Reset:
        return "reset";
    case core::AttemptEnd::Timeout:
        return "timeout";
    case core::AttemptEnd::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace jackdawdoor::net
