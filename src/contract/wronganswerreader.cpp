#include "contract/wronganswerreader.h"

#include "contract/schemalimits.h"
#include "contract/uniquenames.h"
#include "contract/units.h"
#include "contract/valuerules.h"

namespace jackdawdoor::contract {

namespace {

// Server errors. An upstream that sheds load with 503 and Retry-After, or 429, is recognised before this rule applies.
std::vector<int> defaultStatuses()
{
    return {500, 502, 503, 504};
}

std::vector<int> readStatuses(ObjectReader &reader, FaultList &faults)
{
    if (reader.find("statuses") == nullptr) {
        return defaultStatuses();
    }
    std::vector<int> statuses;
    const auto *nodes = reader.requiredList("statuses", maximumStatuses);
    if (nodes == nullptr) {
        return statuses;
    }
    const auto rule = integerRule(minimumWrongStatus, maximumWrongStatus);
    UniqueNames seen("each status at most once");
    for (std::size_t index = 0; index < nodes->size(); ++index) {
        const DocumentNode &node = (*nodes)[index];
        const std::string keyPath = joinIndex(joinKey(reader.path(), "statuses"), index);
        if (const auto status = reader.read(node, keyPath, rule)) {
            seen.add(std::to_string(*status), keyPath, node.line, faults);
            statuses.push_back(*status);
        }
    }
    return statuses;
}

// The header and the maximum age are required together; one alone would check nothing.
void readFreshness(ObjectReader &reader, WrongAnswerRule &rule)
{
    const auto headerNames = headerRule();
    const auto ages = durationRule(minimumAnswerAge, maximumAnswerAge);
    const bool hasHeader = reader.find("freshnessHeader") != nullptr;
    const bool hasAge = reader.find("maximumAge") != nullptr;
    if (hasHeader || hasAge) {
        rule.freshnessHeader = reader.required("freshnessHeader", headerNames).value_or("");
        rule.maximumAge = reader.required("maximumAge", ages);
    }
}

void readMinimumBody(ObjectReader &reader, std::uint64_t largestAnswer, WrongAnswerRule &rule)
{
    rule.minimumBodyBytes = reader.optional<std::uint64_t>("minimumBody", sizeRule(0, maximumAnswerBytes), 0).value_or(0);
    if (rule.minimumBodyBytes > largestAnswer) {
        const std::string largest = formatSize(largestAnswer);
        reader.contradiction(
            "minimumBody", formatSize(rule.minimumBodyBytes) + " exceeds largestAnswer, " + largest, "size of at most " + largest);
    }
}

} // namespace

WrongAnswerRule readWrongAnswer(ObjectReader &operation, std::uint64_t largestAnswer, FaultList &faults, SourceLines &lines)
{
    WrongAnswerRule rule;
    rule.statuses = defaultStatuses();
    const DocumentNode *node = operation.find("wrongAnswer");
    if (node == nullptr) {
        return rule;
    }
    ObjectReader reader(*node, joinKey(operation.path(), "wrongAnswer"), faults, &lines);
    rule.statuses = readStatuses(reader, faults);
    readFreshness(reader, rule);
    if (reader.find("contentType") != nullptr) {
        rule.contentType = reader.required("contentType", contentTypeRule()).value_or("");
    }
    readMinimumBody(reader, largestAnswer, rule);
    reader.finish();
    return rule;
}

} // namespace jackdawdoor::contract
