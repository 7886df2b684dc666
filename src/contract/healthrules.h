/** Derivation rules of a service's health detection. */
#pragma once

#include "contract/derivationscope.h"
#include "contract/service.h"

namespace jackdawdoor::contract {

/** Health parameters of one service. The scope's subject is the service's id. */
HealthPolicy deriveHealth(Weight weight, const Service &service, DerivationScope &scope);

} // namespace jackdawdoor::contract
