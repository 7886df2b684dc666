#include "core/answerclass.h"

#include "core/httpstatus.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace jackdawdoor::core {

namespace {

/** Age in the freshness header, or nothing when it is missing or not a number of seconds. */
std::optional<Duration> parseAge(std::string_view text)
{
    std::int64_t seconds = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (fault != std::errc{} || end != text.data() + text.size() || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

bool isStale(const contract::WrongAnswerRule &rule, const AnswerHead &head)
{
    if (rule.freshnessHeader.empty()) {
        return false;
    }
    const std::optional<Duration> age = parseAge(head.freshness);
    return !age || (rule.maximumAge && *age > *rule.maximumAge);
}

/** Whether the head breaks the contract's rule. Applied to statuses below 400 only: client errors need not meet it. */
bool headViolatesContract(const contract::WrongAnswerRule &rule, const AnswerHead &head)
{
    if (isStale(rule, head)) {
        return true;
    }
    if (!rule.contentType.empty() && head.contentType.rfind(rule.contentType, 0) != 0) {
        return true;
    }
    return head.contentLength && *head.contentLength < rule.minimumBodyBytes;
}

} // namespace

health::OutcomeKind classifyHead(const contract::WrongAnswerRule &rule, const AnswerHead &head)
{
    if (head.shed) {
        return health::OutcomeKind::Shed;
    }
    if (std::find(rule.statuses.begin(), rule.statuses.end(), head.status) != rule.statuses.end()) {
        return health::OutcomeKind::WrongAnswer;
    }
    if (head.status >= httpstatus::firstServerError) {
        return health::OutcomeKind::Error;
    }
    if (head.status < httpstatus::firstClientError && headViolatesContract(rule, head)) {
        return health::OutcomeKind::WrongAnswer;
    }
    return health::OutcomeKind::Success;
}

health::OutcomeKind classifyEnd(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Complete:
        return health::OutcomeKind::Success;
    case AttemptEnd::ShortBody:
        return health::OutcomeKind::ShortBody;
    case AttemptEnd::ConnectFailed:
        return health::OutcomeKind::ConnectFailed;
    case AttemptEnd::Reset:
        return health::OutcomeKind::Reset;
    case AttemptEnd::Timeout:
        return health::OutcomeKind::Timeout;
    case AttemptEnd::Cancelled:
        return health::OutcomeKind::Abandoned;
    }
    return health::OutcomeKind::Abandoned;
}

} // namespace jackdawdoor::core
