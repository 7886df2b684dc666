/** URL encoding. */
#pragma once

#include <string>

namespace jackdawdoor::cli {

/** Value of a query parameter; everything but unreserved characters is percent-encoded. */
std::string encodeQueryValue(const std::string &value);

} // namespace jackdawdoor::cli
