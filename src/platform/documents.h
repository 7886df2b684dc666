/** Decoders for the documents that the operator, the upstreams and the instances write to the store. */
#pragma once

#include "base/error.h"
#include "fleet/upstreamentry.h"
#include "membership/instancelist.h"
#include "routing/routetable.h"

#include <optional>
#include <string>
#include <string_view>

namespace jackdawdoor::platform {

/** Decodes the operator's configuration. */
Result<routing::RouteTablePointer> decodeConfiguration(std::string_view text);

/** Decodes an upstream's entry. Nothing if it is not valid JSON, a field is missing or of the wrong type, or the state is
 * unknown; other programs may write to the same topic. */
std::optional<fleet::UpstreamEntry> decodeUpstream(std::string_view key, std::string_view text);

/** Decodes an instance's entry. Nothing if it is not valid JSON, or has no usable address. */
std::optional<membership::ListedInstance> decodeInstance(std::string_view key, std::string_view text);

/** Encodes an instance's entry. */
std::string encodeInstance(const membership::ListedInstance &instance);

} // namespace jackdawdoor::platform
