/** Check of text encoding. */
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace jackdawdoor::contract {

/** Offset of the first byte that is not part of valid UTF-8 (RFC 3629), if any.
 *
 * The JSON lexer checks strings only. A contract travels inside other JSON documents as a string, so that an invalid
 * byte in a comment would make them impossible to write.
 */
std::optional<std::size_t> firstInvalidUtf8(std::string_view text);

} // namespace jackdawdoor::contract
