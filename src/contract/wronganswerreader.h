/** Reading what makes an operation's answer wrong. */
#pragma once

#include "contract/objectreader.h"
#include "contract/policy.h"

namespace jackdawdoor::contract {

/** Reads "wrongAnswer" from an operation; the default rule when it is absent. */
WrongAnswerRule readWrongAnswer(ObjectReader &operation, FaultList &faults, SourceLines &lines);

} // namespace jackdawdoor::contract
