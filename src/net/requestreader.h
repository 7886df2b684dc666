/** From a caller's HTTP request to the head that the decision core sees. */
#pragma once

#include "base/error.h"
#include "core/callerrequest.h"
#include "net/httpmessage.h"

#include <string>

namespace jackdawdoor::net {

/** A proxied request: its head, and the content that goes to the upstream. */
struct ProxiedRequest {
    core::CallerRequest head;
    RequestContent upstreamContent; ///< target without customer and service; without X-Deadline-Ms

    bool operator==(const ProxiedRequest &) const = default;
};

/** Reads "/{customer}/{service}/rest...". The error's reason tells the caller what is malformed.
 *
 * Dot segments, empty segments and encoded separators are refused: the operation is selected by path prefix, and an
 * upstream that normalises the path would run another operation than the one that was checked.
 */
Result<ProxiedRequest> readProxiedRequest(core::RequestId id, const RequestContent &content);

} // namespace jackdawdoor::net
