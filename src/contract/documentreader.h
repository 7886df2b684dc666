/** Parser of JSON with comments into nodes with line numbers. */
#pragma once

#include "contract/documentnode.h"
#include "contract/faultlist.h"

#include <optional>
#include <string_view>

namespace jackdawdoor::contract {

/** Reads a document. Returns nothing when the text is not JSON or exceeds the limits on size, depth or values; the
 * fault then has the line. Repeated keys are faults too, but the document is still returned.
 */
std::optional<DocumentNode> readDocument(std::string_view text, FaultList &faults);

} // namespace jackdawdoor::contract
