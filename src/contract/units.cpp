#include "contract/units.h"

#include <array>
#include <charconv>
#include <limits>

namespace jackdawdoor::contract {

namespace {

struct Unit {
    std::string_view name;
    std::int64_t factor;
};

// Smallest first, so that formatting can search from the largest.
constexpr std::array<Unit, 5> durationUnits{{{"us", 1}, {"ms", 1'000}, {"s", 1'000'000}, {"m", 60'000'000}, {"h", 3'600'000'000}}};
constexpr std::array<Unit, 4> sizeUnits{{{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}};

template <std::size_t Count>
std::optional<std::int64_t> parseQuantity(std::string_view text, const std::array<Unit, Count> &units)
{
    std::int64_t number = 0;
    const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || number < 0) {
        return std::nullopt;
    }
    const auto unitName = text.substr(static_cast<std::size_t>(rest - text.data()));
    for (const Unit &unit : units) {
        if (unit.name != unitName) {
            continue;
        }
        if (number > std::numeric_limits<std::int64_t>::max() / unit.factor) {
            return std::nullopt;
        }
        return number * unit.factor;
    }
    return std::nullopt;
}

template <std::size_t Count>
std::string formatQuantity(std::int64_t quantity, const std::array<Unit, Count> &units)
{
    for (auto unit = units.rbegin(); unit != units.rend(); ++unit) {
        if (quantity != 0 && quantity % unit->factor == 0) {
            return std::to_string(quantity / unit->factor) + std::string(unit->name);
        }
    }
    return "0" + std::string(units.front().name);
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto microseconds = parseQuantity(text, durationUnits);
    return microseconds ? std::optional<Duration>(Duration{*microseconds}) : std::nullopt;
}

std::string formatDuration(Duration duration)
{
    return formatQuantity(duration.count(), durationUnits);
}

std::optional<std::uint64_t> parseSize(std::string_view text)
{
    const auto bytes = parseQuantity(text, sizeUnits);
    return bytes ? std::optional<std::uint64_t>(static_cast<std::uint64_t>(*bytes)) : std::nullopt;
}

std::string formatSize(std::uint64_t bytes)
{
    return formatQuantity(static_cast<std::int64_t>(bytes), sizeUnits);
}

} // namespace jackdawdoor::contract
