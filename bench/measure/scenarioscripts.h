/** Fault schedules of the scenarios. Each function only schedules events, which World::run() executes. */
#pragma once

#include "measure/world.h"

namespace jackdawdoor::measure::scripts {

void slow(World &world);
void erroring(World &world);
void halfErroring(World &world);
void wrongAnswer(World &world);
void failFast(World &world);
void flapping(World &world);
void coldStart(World &world);
void overload(World &world);
void fullOutage(World &world);
void oneWayPartition(World &world);
void upstreamCut(World &world);
void silentConnections(World &world);
void requestOfDeath(World &world);
void resendStorm(World &world);
void pause(World &world);
void crash(World &world);
void plannedStop(World &world);
void rollingReplacement(World &world);
void racingPublishes(World &world);
void logOutage(World &world);
void fleetRestart(World &world);
void regionCut(World &world);
void monthEnd(World &world);

} // namespace jackdawdoor::measure::scripts
