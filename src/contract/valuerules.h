/** The kinds of values that contracts use, each with its accepted range. */
#pragma once

#include "base/time.h"
#include "contract/healthyfloor.h"
#include "contract/policy.h"
#include "contract/valuerule.h"

#include <cstdint>
#include <string>

namespace jackdawdoor::contract {

ValueRule<bool> booleanRule();

/** Whole number within the bounds, which are included. */
ValueRule<int> integerRule(int minimum, int maximum);

/** Number within the bounds, which are included. */
ValueRule<double> numberRule(double minimum, double maximum);

/** Text such as "250ms" within the bounds, which are included. */
ValueRule<Duration> durationRule(Duration minimum, Duration maximum);

/** Text such as "64KiB" within the bounds, which are included. */
ValueRule<std::uint64_t> sizeRule(std::uint64_t minimum, std::uint64_t maximum);

/** Name that can be part of an identifier and of a request path. */
ValueRule<std::string> nameRule();

/** Name of an HTTP header. */
ValueRule<std::string> headerRule();

/** Prefix of a Content-Type value. */
ValueRule<std::string> contentTypeRule();

/** HTTP method in upper case. */
ValueRule<std::string> methodRule();

/** Path prefix that a request path can match as it stands. */
ValueRule<std::string> pathPrefixRule();

/** IPv4 address with port. */
ValueRule<std::string> addressRule();

ValueRule<Weight> weightRule();

/** Count, or a percentage such as "60%". */
ValueRule<HealthyFloor> floorRule();

} // namespace jackdawdoor::contract
