/** Decision core for tests of the adapters: one upstream for each service, no health, no leases.
 *
 * It records every input that a test may ask for and answers with the simplest effect, so that a test sees what the
 * driver and the tasks do and nothing else.
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

/** What a scripted core does and what it saw; shared with the test. */
struct CoreScript {
    std::map<std::string, std::string> upstreams; ///< address by "customer/service"; set before the start
    std::map<std::string, std::string> homes; ///< peer address by service; such requests are forwarded
    std::mutex mutex;
    std::vector<std::string> events;
    std::atomic<int> callersGone = 0;

    void note(std::string event);

    /** True when an event has come within five seconds. */
    bool saw(const std::string &event);
};

/** Core that follows a script. */
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
    net::JsonAnswer onPlacementQuery(TimePoint now, const net::PlacementQuestion &question) override;
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
    std::map<core::AttemptId, core::RequestId> m_waiting; ///< attempts without an answer's head
    core::AttemptId m_lastAttempt = 0;
    bool m_logRead = false;
};

} // namespace jackdawdoor::standins
