#include "contract/valuerules.h"

#include "contract/textrules.h"
#include "contract/units.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace jackdawdoor::contract {

namespace {

constexpr int maximumUpstreamCount = 1000;

std::string between(const std::string &minimum, const std::string &maximum)
{
    return minimum + " to " + maximum;
}

// Rule for texts that satisfy a predicate.
ValueRule<std::string> textRule(std::string accepted, bool (*accepts)(std::string_view))
{
    return {std::move(accepted), [accepts](const DocumentNode &node) -> std::optional<std::string> {
                if (node.kind != DocumentNode::Kind::String || !accepts(node.text)) {
                    return std::nullopt;
                }
                return node.text;
            }};
}

std::optional<HealthyFloor> readPercentage(std::string_view text)
{
    int percent = 0;
    const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), percent);
    if (failure != std::errc{} || text.substr(static_cast<std::size_t>(rest - text.data())) != "%") {
        return std::nullopt;
    }
    if (percent < 1 || percent > 100) {
        return std::nullopt;
    }
    return HealthyFloor{percent, HealthyFloor::Unit::Percent};
}

} // namespace

ValueRule<bool> booleanRule()
{
    return {"true or false", [](const DocumentNode &node) {
                return node.kind == DocumentNode::Kind::Boolean ? std::optional<bool>(node.boolean) : std::nullopt;
            }};
}

ValueRule<int> integerRule(int minimum, int maximum)
{
    return {"whole number from " + between(std::to_string(minimum), std::to_string(maximum)),
            [minimum, maximum](const DocumentNode &node) -> std::optional<int> {
                if (node.kind != DocumentNode::Kind::Integer || node.integer < minimum || node.integer > maximum) {
                    return std::nullopt;
                }
                return static_cast<int>(node.integer);
            }};
}

ValueRule<double> numberRule(double minimum, double maximum)
{
    return {"number from " + between(nlohmann::json(minimum).dump(), nlohmann::json(maximum).dump()),
            [minimum, maximum](const DocumentNode &node) -> std::optional<double> {
                const bool numeric = node.kind == DocumentNode::Kind::Integer || node.kind == DocumentNode::Kind::Number;
                if (!numeric || node.number < minimum || node.number > maximum) {
                    return std::nullopt;
                }
                return node.number;
            }};
}

ValueRule<Duration> durationRule(Duration minimum, Duration maximum)
{
    return {"duration in us, ms, s, m or h, as text, from " + between(formatDuration(minimum), formatDuration(maximum)),
            [minimum, maximum](const DocumentNode &node) -> std::optional<Duration> {
                const auto duration = node.kind == DocumentNode::Kind::String ? parseDuration(node.text) : std::nullopt;
                return duration && *duration >= minimum && *duration <= maximum ? duration : std::nullopt;
            }};
}

ValueRule<std::uint64_t> sizeRule(std::uint64_t minimum, std::uint64_t maximum)
{
    return {"size in B, KiB, MiB or GiB, as text, from " + between(formatSize(minimum), formatSize(maximum)),
            [minimum, maximum](const DocumentNode &node) -> std::optional<std::uint64_t> {
                const auto bytes = node.kind == DocumentNode::Kind::String ? parseSize(node.text) : std::nullopt;
                return bytes && *bytes >= minimum && *bytes <= maximum ? bytes : std::nullopt;
            }};
}

ValueRule<std::string> nameRule()
{
    return textRule("1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit", isName);
}

ValueRule<std::string> headerRule()
{
    return textRule("header name of 1 to 63 token characters", isHeaderName);
}

ValueRule<std::string> contentTypeRule()
{
    return textRule("1 to 100 printable ASCII characters", isContentType);
}

ValueRule<std::string> methodRule()
{
    return textRule("GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS", isMethod);
}

ValueRule<std::string> pathPrefixRule()
{
    return textRule("path of 1 to 200 bytes that starts with '/', without query, '%', empty segments, '.' or '..'", isPathPrefix);
}

ValueRule<std::string> addressRule()
{
    return textRule("IPv4 address and port, such as \"10.0.0.1:8080\"", isAddress);
}

ValueRule<Weight> weightRule()
{
    return {"\"detection-time\" or \"false-ejections\"", [](const DocumentNode &node) -> std::optional<Weight> {
                if (node.text == "detection-time") {
                    return Weight::DetectionTime;
                }
                if (node.text == "false-ejections") {
                    return Weight::FalseEjections;
                }
                return std::nullopt;
            }};
}

ValueRule<HealthyFloor> floorRule()
{
    return {"count from 1 to the number of upstreams, or \"1%\" to \"100%\"", [](const DocumentNode &node) -> std::optional<HealthyFloor> {
                if (node.kind == DocumentNode::Kind::String) {
                    return readPercentage(node.text);
                }
                if (node.kind != DocumentNode::Kind::Integer || node.integer < 1 || node.integer > maximumUpstreamCount) {
                    return std::nullopt;
                }
                return HealthyFloor{static_cast<int>(node.integer), HealthyFloor::Unit::Upstreams};
            }};
}

} // namespace jackdawdoor::contract
