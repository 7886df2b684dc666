/** Syntax checks of texts in contracts. */
#pragma once

#include <string_view>

namespace jackdawdoor::contract {

/** 1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit. A slash would make identifiers ambiguous. */
bool isName(std::string_view text);

/** 1 to 63 token characters of RFC 9110. */
bool isHeaderName(std::string_view text);

/** 1 to 100 printable ASCII characters. */
bool isContentType(std::string_view text);

/** HTTP method that callers may use, in upper case. */
bool isMethod(std::string_view text);

/** Absolute path without query, percent-encoding, empty or dot segments, so that each prefix has only one spelling. */
bool isPathPrefix(std::string_view text);

/** "a.b.c.d:port" in decimal without leading zeros. */
bool isAddress(std::string_view text);

} // namespace jackdawdoor::contract
