/** Parser of callers' HTTP requests. */
#pragma once

#include "base/error.h"
#include "core/callerrequest.h"
#include "net/httpmessage.h"

#include <string>

namespace jackdawdoor::net {

/** A proxied request: its head for the decision core, and the content that is sent to the upstream. */
struct ProxiedRequest {
    core::CallerRequest head;
    RequestContent upstreamContent; ///< target without customer and service; without X-Deadline-Ms

    bool operator==(const ProxiedRequest &) const = default;
};

/** Parses "/{customer}/{service}/rest...". The error's reason is sent to the caller.
 *
 * Dot segments, empty segments and encoded separators are refused: the operation is selected by path prefix, and an
 * upstream that normalises the path could run another operation than the one that was checked.
 */
Result<ProxiedRequest> readProxiedRequest(core::RequestId id, const RequestContent &content);

} // namespace jackdawdoor::net
