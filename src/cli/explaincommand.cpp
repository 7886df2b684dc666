#include "cli/explaincommand.h"

#include "cli/checkcommand.h"
#include "cli/table.h"
#include "contract/explanation.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace jackdawdoor::cli {

namespace {

std::string sourceLines(const contract::Explanation &explanation)
{
    std::string lines;
    for (const contract::ExplanationSource &source : explanation.sources) {
        lines += (lines.empty() ? "" : ",") + std::to_string(source.line);
    }
    return lines;
}

Table makeTable(const std::vector<contract::Explanation> &explanations)
{
    Table rows{{"SUBJECT", "NAME", "VALUE", "UNIT", "LINES", "RULE"}};
    for (const contract::Explanation &explanation : explanations) {
        rows.push_back(
            {explanation.subject, explanation.name, explanation.value, explanation.unit, sourceLines(explanation), explanation.rule});
    }
    return rows;
}

// Values are numbers, true, false or "none"; all but "none" are valid JSON.
nlohmann::ordered_json jsonValue(const std::string &value)
{
    return value == "none" ? nlohmann::ordered_json(nullptr) : nlohmann::ordered_json::parse(value);
}

nlohmann::ordered_json toJson(const contract::Explanation &explanation)
{
    nlohmann::ordered_json sources = nlohmann::ordered_json::array();
    for (const contract::ExplanationSource &source : explanation.sources) {
        sources.push_back({{"key", source.keyPath}, {"line", source.line}});
    }
    return {{"subject", explanation.subject},
            {"name", explanation.name},
            {"value", jsonValue(explanation.value)},
            {"unit", explanation.unit},
            {"rule", explanation.rule},
            {"sources", std::move(sources)}};
}

void printJson(const std::vector<contract::Explanation> &explanations, std::ostream &out)
{
    constexpr int indent = 2;
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const contract::Explanation &explanation : explanations) {
        list.push_back(toJson(explanation));
    }
    out << list.dump(indent) << "\n";
}

} // namespace

int runExplain(const std::string &file, bool json, std::ostream &out, std::ostream &err)
{
    const ContractFile read = readContractFile(file, err);
    if (!read.contract) {
        return read.exitCode;
    }
    const auto explanations = contract::explainPolicy(*read.contract);
    if (json) {
        printJson(explanations, out);
    } else {
        printTable(makeTable(explanations), out);
    }
    return read.exitCode;
}

} // namespace jackdawdoor::cli
