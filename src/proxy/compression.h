/** Compression of what instances send each other, by zlib. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jackdawdoor::proxy {

/** Compressed bytes. */
std::string compress(std::string_view bytes);

/** The original bytes; nothing for malformed ones and for more than 16 MiB. */
std::optional<std::string> decompress(std::string_view compressed);

} // namespace jackdawdoor::proxy
