#include "contract/derivationscope.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jackdawdoor::contract {

DerivationScope::DerivationScope(std::string subject, std::string keyPath, const SourceLines &lines, std::vector<Explanation> &explanations)
    : m_subject(std::move(subject))
    , m_keyPath(std::move(keyPath))
    , m_lines(lines)
    , m_explanations(explanations)
{
}

std::string DerivationScope::key(const std::string &name) const
{
    return m_keyPath + "." + name;
}

std::string DerivationScope::formatValue(bool value)
{
    return value ? "true" : "false";
}

std::string DerivationScope::formatValue(int value)
{
    return std::to_string(value);
}

std::string DerivationScope::formatValue(std::uint64_t value)
{
    return std::to_string(value);
}

std::string DerivationScope::formatValue(double value)
{
    std::string text = nlohmann::json(value).dump(); // the shortest text that parses to the same number
    const bool whole = text.ends_with(".0");
    return whole ? text.substr(0, text.size() - 2) : text;
}

std::string DerivationScope::formatValue(Duration value)
{
    constexpr int microsecondsPerMillisecond = 1000;
    const bool whole = value.count() % microsecondsPerMillisecond == 0;
    return whole ? std::to_string(value.count() / microsecondsPerMillisecond) : formatValue(toMilliseconds(value));
}

std::string DerivationScope::formatValue(const std::optional<Duration> &value)
{
    return value ? formatValue(*value) : "none";
}

void DerivationScope::record(const DerivationRule &rule, std::string value)
{
    Explanation explanation{m_subject, rule.name, std::move(value), rule.unit, rule.rule, {}};
    for (const std::string &keyPath : rule.keyPaths) {
        explanation.sources.push_back({keyPath, m_lines.lineOf(keyPath)});
    }
    m_explanations.push_back(std::move(explanation));
}

} // namespace jackdawdoor::contract
