/** Decoders for the documents that the operator and the upstreams write to the store. */
#pragma once

#include "base/error.h"
#include "fleet/upstreamentry.h"
#include "routing/routetable.h"

#include <optional>
#include <string_view>

namespace jackdawdoor::platform {

/** Decodes the operator's configuration. */
Result<routing::RouteTablePointer> decodeConfiguration(std::string_view text);

/** Decodes an upstream's entry. Nothing if it is not valid JSON, a field is missing or of the wrong type, or the state is
 * unknown; other programs may write to the same topic. */
std::optional<fleet::UpstreamEntry> decodeUpstream(std::string_view key, std::string_view text);

} // namespace jackdawdoor::platform
