/** Reader of an operation's rule for wrong answers. */
#pragma once

#include "contract/objectreader.h"
#include "contract/policy.h"

#include <cstdint>

namespace jackdawdoor::contract {

/** Reads "wrongAnswer" from an operation; the default rule when it is absent. A minimum body above `largestAnswer` bytes is
 * a fault, since every answer would then be wrong.
 */
WrongAnswerRule readWrongAnswer(ObjectReader &operation, std::uint64_t largestAnswer, FaultList &faults, SourceLines &lines);

} // namespace jackdawdoor::contract
