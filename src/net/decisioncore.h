/** Interface between the network tasks and the decision core.
 *
 * CoreDriver passes events to a DecisionCore; the core requests effects through EffectTarget. The tasks depend on nothing
 * else of the core, so that its class and its message codec are used in one file only.
 */
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "core/attemptreport.h"
#include "core/callerrequest.h"
#include "core/refusal.h"
#include "net/httpmessage.h"
#include "telemetry/log.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawdoor::net {

/** Address, limits and timeouts of one attempt; the fields of core::DispatchAttempt without the request. */
struct AttemptOrder {
    core::AttemptId attempt = 0;
    UpstreamId upstream;
    std::string address; ///< "ip:port"
    Duration attemptTimeout{}; ///< until the first byte of the answer
    Duration idleTimeout{}; ///< between two reads of the body
    Duration remainingDeadline{}; ///< passed to the upstream as X-Deadline-Ms; zero: not passed
    Duration maximumSilence{}; ///< an idle connection that received nothing for longer must not be reused; zero: open a new one
    int connectionLimit = 1; ///< open connections that this instance may have to the upstream
    std::string freshnessHeader; ///< header to report in AnswerHead::freshness
    std::uint64_t storeAnswerBytes = 0; ///< bytes of the answer to return in AttemptReport::storedBody
    std::uint64_t maximumAnswerBytes = 0; ///< zero: no limit

    bool operator==(const AttemptOrder &) const = default;
};

/** Metric label of an attempt's end, such as "short-body". */
std::string attemptEndName(core::AttemptEnd end);

/** Answer that is replayed from a stored outcome. */
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
    bool bodyComplete = false; ///< the stored body is the whole body

    bool operator==(const StoredAnswer &) const = default;
};

/** One record of the configuration stream. */
struct LogPageEntry {
    std::uint64_t offset = 0;
    Duration age{}; ///< time since the record was appended
    std::string record;

    bool operator==(const LogPageEntry &) const = default;
};

/** A page of the configuration stream. */
struct LogPageContent {
    std::uint64_t firstRetained = 0;
    std::uint64_t nextOffset = 0; ///< offset that the next append will get
    Duration retention{};
    std::vector<LogPageEntry> entries;

    bool operator==(const LogPageContent &) const = default;
};

/** One entry of the platform's instance list. */
struct ListedInstance {
    InstanceId id;
    std::string address; ///< "ip:port" for other instances
    DataCentreId dataCentre;
    bool leaving = false;
    bool upstream = false; ///< an upstream's instance, not one of the fleet

    bool operator==(const ListedInstance &) const = default;
};

/** A caller's query for the instances to connect to. */
struct PlacementQuery {
    ServiceId service;
    std::string caller; ///< identifier chosen by the caller; the same one gives the same order of addresses

    bool operator==(const PlacementQuery &) const = default;
};

/** A short answer in JSON. */
struct JsonAnswer {
    int status = 200;
    std::string body;

    bool operator==(const JsonAnswer &) const = default;
};

/** Receiver of the core's effects. Implemented by CoreDriver; called on its thread only. */
class EffectTarget
{
public:
    virtual ~EffectTarget() = default;
    virtual void dispatch(core::RequestId request, const AttemptOrder &order) = 0;
    virtual void cancel(core::AttemptId attempt) = 0;
    virtual void relayAnswer(core::RequestId request, core::AttemptId attempt) = 0;
    virtual void relayStored(core::RequestId request, const StoredAnswer &answer) = 0;
    virtual void refuse(core::RequestId request, const core::Refusal &refusal) = 0;
    virtual void forward(core::RequestId request, const InstanceRef &peer, const std::string &address) = 0;
    virtual void sendPeerMessage(const InstanceRef &peer, const std::string &address, std::string message) = 0;
    virtual void readLog(std::uint64_t fromOffset, std::uint32_t maximumRecords) = 0;
    virtual void appendLog(std::string record) = 0;
    virtual void logDecision(const telemetry::DecisionLine &decision) = 0;
    virtual void stopFinished() = 0;
};

/** Decision core as seen by the tasks. Each event carries the current time; its effects are reported to the target. */
class DecisionCore
{
public:
    virtual ~DecisionCore() = default;
    virtual void onTick(TimePoint now, EffectTarget &target) = 0;

    /** head.organisation is empty; the core looks up the header that the contract names in content. */
    virtual void onRequest(TimePoint now, core::CallerRequest head, const RequestContent &content, EffectTarget &target) = 0;
    virtual void onCallerGone(TimePoint now, core::RequestId request, EffectTarget &target) = 0;
    virtual void onAnswerHead(TimePoint now, const core::AnswerHead &head, EffectTarget &target) = 0;
    virtual void onAttemptFinished(TimePoint now, const core::AttemptReport &report, EffectTarget &target) = 0;

    /** A forwarded request got no answer. nothingSent is true only when the peer certainly did not receive the request. */
    virtual void onForwardFailed(TimePoint now, core::RequestId request, bool nothingSent, EffectTarget &target) = 0;
    virtual void onPeerMessage(TimePoint now, const InstanceRef &from, const std::string &message, EffectTarget &target) = 0;
    virtual void onLogPage(TimePoint now, const LogPageContent &page, EffectTarget &target) = 0;
    virtual void onLogFailed(TimePoint now, const Error &error, EffectTarget &target) = 0;
    virtual void onAppendFinished(TimePoint now, const std::string &record, const Result<std::uint64_t> &offset, EffectTarget &target) = 0;
    virtual void onInstanceList(TimePoint now, const std::vector<ListedInstance> &instances, EffectTarget &target) = 0;

    /** The answer is passed to target like the answer of a request. */
    virtual void onOutcomeQuery(TimePoint now, core::RequestId query, const std::string &key, EffectTarget &target) = 0;
    virtual JsonAnswer onPlacementQuery(TimePoint now, const PlacementQuery &query) = 0;
    virtual void beginStop(TimePoint now, EffectTarget &target) = 0;
    virtual std::string status(TimePoint now) const = 0; ///< JSON
    virtual JsonAnswer contractState(const CustomerId &customer) const = 0; ///< contract in force, for publishers
    virtual bool ready() const = 0; ///< a contract is known
};

} // namespace jackdawdoor::net
