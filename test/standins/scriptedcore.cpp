#include "standins/scriptedcore.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace jackdawdoor::standins {

namespace {

core::Refusal refusal(int status, core::RefusalStage stage, core::Disposition disposition)
{
    core::Refusal result;
    result.status = status;
    result.stage = stage;
    result.disposition = disposition;
    result.reason = "scripted";
    return result;
}

} // namespace

void CoreScript::note(std::string event)
{
    const std::lock_guard lock(mutex);
    events.push_back(std::move(event));
}

bool CoreScript::saw(const std::string &event)
{
    for (int round = 0; round < 500; ++round) {
        {
            const std::lock_guard lock(mutex);
            if (std::find(events.begin(), events.end(), event) != events.end()) {
                return true;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return false;
}

ScriptedCore::ScriptedCore(std::shared_ptr<CoreScript> script, net::CoreIdentity identity)
    : m_script(std::move(script))
    , m_identity(std::move(identity))
{
}

void ScriptedCore::onTick(TimePoint /*now*/, net::EffectTarget &target)
{
    if (!m_logRead) {
        m_logRead = true;
        target.appendLog("record by " + m_identity.self.id.value);
    }
}

void ScriptedCore::onRequest(TimePoint /*now*/,
                             core::CallerRequest head,
                             const net::RequestContent & /*content*/,
                             net::EffectTarget &target)
{
    m_script->note(head.method + " " + head.path + " key=" + head.key + (head.forwarded ? " forwarded" : ""));
    const auto home = m_script->homes.find(head.service.value);
    if (home != m_script->homes.end() && !head.forwarded) {
        target.forward(head.id, {InstanceId{"home"}, 0}, home->second);
        return;
    }
    const auto upstream = m_script->upstreams.find(head.service.value);
    if (upstream == m_script->upstreams.end()) {
        core::Refusal answer = refusal(404, core::RefusalStage::NoContract, core::Disposition::NotRun);
        answer.retryAfter = std::chrono::milliseconds{1500};
        target.refuse(head.id, answer);
        return;
    }
    net::AttemptOrder order;
    order.attempt = ++m_lastAttempt;
    order.address = upstream->second;
    order.attemptTimeout = std::chrono::seconds{2};
    order.idleTimeout = std::chrono::seconds{2};
    order.remainingDeadline = head.deadline;
    m_waiting[order.attempt] = head.id;
    target.dispatch(head.id, order);
}

void ScriptedCore::onCallerGone(TimePoint /*now*/, core::RequestId request, net::EffectTarget &target)
{
    ++m_script->callersGone;
    for (const auto &entry : m_waiting) {
        if (entry.second == request) {
            target.cancel(entry.first);
        }
    }
}

void ScriptedCore::onAnswerHead(TimePoint /*now*/, const core::AnswerHead &head, net::EffectTarget &target)
{
    const auto request = m_waiting.extract(head.attempt);
    if (!request.empty()) {
        target.relayAnswer(request.mapped(), head.attempt);
    }
}

void ScriptedCore::onAttemptFinished(TimePoint /*now*/, const core::AttemptReport &report, net::EffectTarget &target)
{
    m_script->note("attempt " + net::attemptEndName(report.end));
    const auto request = m_waiting.extract(report.attempt);
    if (!request.empty()) {
        target.refuse(request.mapped(), refusal(502, core::RefusalStage::AttemptsExhausted, core::Disposition::Unknown));
    }
}

void ScriptedCore::onForwardFailed(TimePoint /*now*/, core::RequestId request, bool nothingSent, net::EffectTarget &target)
{
    const auto disposition = nothingSent ? core::Disposition::NotRun : core::Disposition::Unknown;
    target.refuse(request, refusal(503, core::RefusalStage::HomeUnreachable, disposition));
}

void ScriptedCore::onPeerMessage(TimePoint /*now*/, const InstanceRef &from, const std::string &message, net::EffectTarget & /*target*/)
{
    m_script->note("message from " + from.id.value + ": " + message);
}

void ScriptedCore::onLogPage(TimePoint /*now*/, const net::LogPageContent &page, net::EffectTarget & /*target*/)
{
    for (const net::LogPageEntry &entry : page.entries) {
        m_script->note("log " + std::to_string(entry.offset) + ": " + entry.record);
    }
}

void ScriptedCore::onLogFailed(TimePoint /*now*/, const Error &error, net::EffectTarget & /*target*/)
{
    m_script->note("log failed: " + error.step);
}

void ScriptedCore::onAppendFinished(TimePoint /*now*/,
                                    const std::string &record,
                                    const Result<std::uint64_t> &offset,
                                    net::EffectTarget &target)
{
    m_script->note((offset.has_value() ? "appended " : "lost ") + record);
    target.readLog(0, 100);
}

void ScriptedCore::onInstanceList(TimePoint /*now*/, const std::vector<net::ListedInstance> &instances, net::EffectTarget &target)
{
    for (const net::ListedInstance &instance : instances) {
        m_script->note("listed " + instance.id.value + (instance.leaving ? " leaving" : ""));
        if (instance.id != m_identity.self.id) {
            target.sendPeerMessage({instance.id, 0}, instance.address, "hello");
        }
    }
}

void ScriptedCore::onOutcomeQuery(TimePoint /*now*/, core::RequestId query, const std::string &key, net::EffectTarget &target)
{
    target.relayStored(query, {201, "text/plain", "outcome of " + key, true});
}

net::JsonAnswer ScriptedCore::onPlacementQuery(TimePoint /*now*/, const net::PlacementQuery &query)
{
    return {200, R"({"service":")" + query.service.value + R"(","caller":")" + query.caller + R"("})"};
}

void ScriptedCore::beginStop(TimePoint /*now*/, net::EffectTarget &target)
{
    target.stopFinished();
}

std::string ScriptedCore::status(TimePoint /*now*/) const
{
    return R"({"instance":")" + m_identity.self.id.value + R"("})";
}

bool ScriptedCore::ready() const
{
    return !m_script->upstreams.empty();
}

} // namespace jackdawdoor::standins
