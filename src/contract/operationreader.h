/** Reader of the operations of one service. */
#pragma once

#include "contract/objectreader.h"
#include "contract/operation.h"

#include <vector>

namespace jackdawdoor::contract {

/** Reads "operations" from a service. Faulty entries are reported and get default values. */
std::vector<Operation> readOperations(ObjectReader &service, FaultList &faults, SourceLines &lines);

} // namespace jackdawdoor::contract
