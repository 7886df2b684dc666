#include "net/refusalanswer.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::net {

namespace {

constexpr int badRequest = 400;
const Header jsonType{"Content-Type", "application/json"};

} // namespace

std::string refusalJson(const core::Refusal &refusal)
{
    nlohmann::ordered_json json;
    json["disposition"] = refusal.disposition == core::Disposition::NotRun ? "not-run" : "unknown";
    json["stage"] = core::stageName(refusal.stage);
    json["waiting_helps"] = refusal.waitingHelps;
    json["retry_after_ms"] = nullptr;
    if (refusal.retryAfter) {
        json["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*refusal.retryAfter).count();
    }
    json["reason"] = refusal.reason;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::shared_ptr<AnswerPipe> refusalAnswer(const core::Refusal &refusal)
{
    AnswerStart start{refusal.status, {jsonType}, std::nullopt};
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
        start.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return AnswerPipe::completed(std::move(start), refusalJson(refusal));
}

core::Refusal malformedRefusal(std::string reason)
{
    core::Refusal refusal;
    refusal.status = badRequest;
    refusal.disposition = core::Disposition::NotRun;
    refusal.stage = core::RefusalStage::Malformed;
    refusal.reason = std::move(reason);
    return refusal;
}

std::shared_ptr<AnswerPipe> storedAnswer(const StoredAnswer &answer)
{
    AnswerStart start{answer.status, {{"X-Answer-Stored", answer.bodyComplete ? "complete" : "partial"}}, std::nullopt};
    if (!answer.contentType.empty()) {
        start.headers.push_back({"Content-Type", answer.contentType});
    }
    return AnswerPipe::completed(std::move(start), answer.body);
}

std::shared_ptr<AnswerPipe> jsonAnswer(const JsonAnswer &answer)
{
    return AnswerPipe::completed({answer.status, {jsonType}, std::nullopt}, answer.body);
}

} // namespace jackdawdoor::net
