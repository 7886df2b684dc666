#include "limits/connectionrule.h"

#include <algorithm>

namespace jackdawdoor::limits {

namespace {

/** Idle time after which middleboxes and upstreams commonly drop a connection without closing it. */
constexpr Duration idleLimit = std::chrono::seconds{30};

} // namespace

ConnectionRule::ConnectionRule(const contract::ServicePolicy &policy)
    : m_proofAge(policy.connectionProofAge)
{
}

Duration ConnectionRule::maximumSilence(const contract::OperationPolicy &operation) const
{
    return operation.idempotent ? std::max(idleLimit, m_proofAge) : m_proofAge;
}

int ConnectionRule::connectionShare(const contract::UpstreamPolicy &upstream, int instances)
{
    return upstream.connections / std::max(instances, 1);
}

SilenceCause ConnectionRule::classify(std::optional<bool> newConnectionAnswered)
{
    if (!newConnectionAnswered) {
        return SilenceCause::Undecided;
    }
    return *newConnectionAnswered ? SilenceCause::ConnectionFault : SilenceCause::UpstreamFault;
}

} // namespace jackdawdoor::limits
