/** UTF-8 validation. */
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace jackdawdoor::contract {

/** Offset of the first byte that is not part of valid UTF-8 (RFC 3629), if any.
 *
 * The JSON lexer checks strings only. Contracts are embedded as strings in other JSON documents, which could not be
 * serialised if a comment had an invalid byte.
 */
std::optional<std::size_t> firstInvalidUtf8(std::string_view text);

} // namespace jackdawdoor::contract
