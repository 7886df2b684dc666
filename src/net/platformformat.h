/** Parsers for the JSON of the platform's services. Malformed answers are errors that name the service; in lists, items that cannot be
 * read are skipped and logged. */
#pragma once

#include "base/error.h"
#include "net/decisioncore.h"

#include <string>
#include <vector>

namespace jackdawdoor::net {

/** Reads a page of the configuration stream. peer appears in errors. */
Result<LogPageContent> parseLogPage(const std::string &json, const std::string &peer);

/** Reads the answer to an append: the record's offset. */
Result<std::uint64_t> parseAppendAnswer(const std::string &json, const std::string &peer);

/** Reads the instance list. */
Result<std::vector<ListedInstance>> parseInstanceList(const std::string &json, const std::string &peer);

} // namespace jackdawdoor::net
