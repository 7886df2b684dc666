/** zlib compression of the state that instances fetch from each other. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jackdawdoor::proxy {

std::string compress(std::string_view bytes);

/** Decompresses; nothing if the input is malformed or decompresses to more than 16 MiB. */
std::optional<std::string> decompress(std::string_view compressed);

} // namespace jackdawdoor::proxy
