/** The messages that the health modules of two instances exchange. */
#pragma once

#include "health/evidencereport.h"
#include "health/verdict.h"

#include <variant>

namespace jackdawdoor::health {

/** EvidenceReport goes from a holder to the coordinator, Verdicts go back to all holders. */
using HealthMessage = std::variant<EvidenceReport, Verdicts>;

} // namespace jackdawdoor::health
