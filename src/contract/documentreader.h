/** Reading JSON with comments into nodes that know their lines. */
#pragma once

#include "contract/documentnode.h"
#include "contract/faultlist.h"

#include <optional>
#include <string_view>

namespace jackdawdoor::contract {

/** Reads a document. Nothing is returned when the text is no JSON or exceeds the limits on size, depth or values; the
 * fault then says where. Repeated keys are faults too, but the document is still returned.
 */
std::optional<DocumentNode> readDocument(std::string_view text, FaultList &faults);

} // namespace jackdawdoor::contract
