/** Fake decision core for tests of the network tasks: one upstream per service, no health tracking, no leases.
 *
 * It records its inputs and answers with the simplest effect, so that a test depends on the driver and the tasks only.
 */
#pragma once

#include "net/server.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jackdawdoor::standins {

/** Behaviour of a scripted core and the events that it recorded; shared with the test. */
struct CoreScript {
    std::map<std::string, std::string> upstreams; ///< address by "customer/service"; set before the start
    std::map<std::string, std::string> homes; ///< peer address by service; such requests are forwarded
    std::mutex mutex;
    std::vector<std::string> events;
    std::atomic<int> callersGone = 0;

    void note(std::string event);

    /** Waits for an event, at most five seconds; true when it was recorded. */
    bool saw(const std::string &event);
};

/** Core whose behaviour is set by a CoreScript. */
class ScriptedCore : public net::DecisionCore
{
public:
    ScriptedCore(std::shared_ptr<CoreScript> script, net::CoreIdentity identity);

    void onTick(TimePoint now, net::EffectTarget &target) override;
    void onRequest(TimePoint now, core::CallerRequest head, const net::RequestContent &content, net::EffectTarget &target) override;
    void onCallerGone(TimePoint now, core::RequestId request, net::EffectTarget &target) override;
    void onAnswerHead(TimePoint now, const core::AnswerHead &head, net::EffectTarget &target) override;
    void onAttemptFinished(TimePoint now, const core::AttemptReport &report, net::EffectTarget &target) override;
    void onForwardFailed(TimePoint now, core::RequestId request, bool nothingSent, net::EffectTarget &target) override;
    void onPeerMessage(TimePoint now, const InstanceRef &from, const std::string &message, net::EffectTarget &target) override;
    void onLogPage(TimePoint now, const net::LogPageContent &page, net::EffectTarget &target) override;
    void onLogFailed(TimePoint now, const Error &error, net::EffectTarget &target) override;
    void
    onAppendFinished(TimePoint now, const std::string &record, const Result<std::uint64_t> &offset, net::EffectTarget &target) override;
    void onInstanceList(TimePoint now, const std::vector<net::ListedInstance> &instances, net::EffectTarget &target) override;
    void onOutcomeQuery(TimePoint now, core::RequestId query, const std::string &key, net::EffectTarget &target) override;
    net::JsonAnswer onPlacementQuery(TimePoint now, const net::PlacementQuery &query) override;
    void beginStop(TimePoint now, net::EffectTarget &target) override;
    std::string status(TimePoint now) const override;
    net::JsonAnswer contractState(const CustomerId &) const override
    {
        return {404, "{}"};
    }

    bool ready() const override;

private:
    std::shared_ptr<CoreScript> m_script;
    net::CoreIdentity m_identity;
    std::map<core::AttemptId, core::RequestId> m_waiting; ///< attempts whose answer's head has not arrived
    core::AttemptId m_lastAttempt = 0;
    bool m_logRead = false;
};

} // namespace jackdawdoor::standins
