/** Decodes what the operator and the upstreams write to the store. */
#pragma once

#include "base/error.h"
#include "fleet/upstreamentry.h"
#include "routing/routetable.h"

#include <optional>
#include <string_view>

namespace jackdawdoor::platform {

/** The operator's configuration. */
Result<routing::RouteTablePointer> decodeConfiguration(std::string_view text);

/** An upstream's entry. Nothing for an entry of another writer: fields that are missing or of another type, an unknown
 * state, or bytes that cannot be read. */
std::optional<fleet::UpstreamEntry> decodeUpstream(std::string_view key, std::string_view text);

} // namespace jackdawdoor::platform
