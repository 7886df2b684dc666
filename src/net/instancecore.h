/** Adapter that makes core::Instance a DecisionCore. */
#pragma once

#include "core/instance.h"
#include "net/decisioncore.h"
#include "net/server.h"

#include <memory>

namespace jackdawdoor::net {

/** Converts the tasks' events to inputs of core::Instance and its effects to calls of EffectTarget. */
class InstanceCore : public DecisionCore
{
public:
    explicit InstanceCore(core::InstanceOptions options);

    void onTick(TimePoint now, EffectTarget &target) override;
    void onRequest(TimePoint now, core::CallerRequest head, const RequestContent &content, EffectTarget &target) override;
    void onCallerGone(TimePoint now, core::RequestId request, EffectTarget &target) override;
    void onAnswerHead(TimePoint now, const core::AnswerHead &head, EffectTarget &target) override;
    void onAttemptFinished(TimePoint now, const core::AttemptReport &report, EffectTarget &target) override;
    void onForwardFailed(TimePoint now, core::RequestId request, bool nothingSent, EffectTarget &target) override;
    void onPeerMessage(TimePoint now, const InstanceRef &from, const std::string &message, EffectTarget &target) override;
    void onLogPage(TimePoint now, const LogPageContent &page, EffectTarget &target) override;
    void onLogFailed(TimePoint now, const Error &error, EffectTarget &target) override;
    void onAppendFinished(TimePoint now, const std::string &record, const Result<std::uint64_t> &offset, EffectTarget &target) override;
    void onInstanceList(TimePoint now, const std::vector<ListedInstance> &instances, EffectTarget &target) override;
    void onOutcomeQuery(TimePoint now, core::RequestId query, const std::string &key, EffectTarget &target) override;
    JsonAnswer onPlacementQuery(TimePoint now, const PlacementQuery &query) override;
    void beginStop(TimePoint now, EffectTarget &target) override;
    std::string status(TimePoint now) const override;
    JsonAnswer contractState(const CustomerId &customer) const override;
    bool ready() const override;

private:
    core::Instance m_instance;
};

/** Creates the core that the `serve` command runs. */
std::unique_ptr<DecisionCore> makeInstanceCore(const CoreIdentity &identity);

/** Converts a page of the log to the core's type. */
configuration::LogPage toLogPage(const LogPageContent &page);

} // namespace jackdawdoor::net
