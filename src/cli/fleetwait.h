/** Waits until a published version is in force on a list of instances. */
#pragma once

#include "base/ids.h"
#include "configuration/logrecord.h"

#include <ostream>
#include <string>
#include <vector>

namespace jackdawdoor::cli {

/** Version to wait for, and the instances that must have it. */
struct FleetWait {
    CustomerId customer;
    configuration::Version version = 0;
    std::vector<std::string> instanceUrls; ///< operators' addresses
    int seconds = 0;

    bool operator==(const FleetWait &) const = default;
};

/** Polls the status of each instance and prints "in force on 41 of 48" when the number changes. On a
 * timeout, prints each instance without the version to err. Returns whether the version is in force on each instance. */
bool waitUntilInForce(const FleetWait &wait, std::ostream &out, std::ostream &err);

} // namespace jackdawdoor::cli
