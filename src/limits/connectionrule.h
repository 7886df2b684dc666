/** Which connections may carry which requests. */
#pragma once

#include "base/time.h"
#include "contract/policy.h"

#include <optional>

namespace jackdawdoor::limits {

/** Cause of a connection that stopped answering. */
enum class SilenceCause {
    Undecided, ///< no new connection was tried yet; the connection is closed in any case
    ConnectionFault, ///< a new connection answers: the upstream is healthy
    UpstreamFault, ///< a new connection fails as well
};

/** Reuse and shares of the connections of one service. */
class ConnectionRule
{
public:
    explicit ConnectionRule(const contract::ServicePolicy &policy);

    /** Longest silence after which an open connection may carry the operation's request.
     *
     * Non-idempotent requests need a connection that answered within the proof age, because a request lost on a dead
     * connection has an unknown outcome. Others may be retried and use any connection that was not idle for long.
     */
    Duration maximumSilence(const contract::OperationPolicy &operation) const;

    /** Connections that one instance may open to the upstream while this many instances use it.
     *
     * The shares of all instances never exceed the upstream's connections; it is 0 when they do not suffice.
     */
    static int connectionShare(const contract::UpstreamPolicy &upstream, int instances);

    /** Cause of a silence. newConnectionAnswered: result of the next new connection, when there was one. */
    static SilenceCause classify(std::optional<bool> newConnectionAnswered);

private:
    Duration m_proofAge;
};

} // namespace jackdawdoor::limits
