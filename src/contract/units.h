/** Durations and sizes as operators write them: a whole number with its unit, such as "250ms" or "64KiB". */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawdoor::contract {

/** Reads a duration with unit us, ms, s, m or h; nothing when the text is not a duration or exceeds 64 bits. */
std::optional<Duration> parseDuration(std::string_view text);

/** Writes a duration in the largest unit that keeps it a whole number. */
std::string formatDuration(Duration duration);

/** Reads a size in bytes with unit B, KiB, MiB or GiB; nothing when the text is not a size or exceeds 63 bits. */
std::optional<std::uint64_t> parseSize(std::string_view text);

/** Writes a size in the largest unit that keeps it a whole number. */
std::string formatSize(std::uint64_t bytes);

} // namespace jackdawdoor::contract
