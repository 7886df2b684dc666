/** Instances of the real decision core, connected by a scripted network in virtual time.
 *
 * This is not a model of the decision logic: it executes the effects of core::Instance against fakes of the network, the
 * log and the upstreams, and counts what the invariants need. Messages pass through the real codec, so that their sizes
 * match production.
 */
#pragma once

#include "base/random.h"
#include "core/instance.h"
#include "fakes/eventqueue.h"
#include "fakes/fakelog.h"
#include "fakes/fakeupstream.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jackdawdoor::fakes {

/** Delay and loss of the network between instances. */
struct NetworkBehaviour {
    Duration minimumDelay = std::chrono::microseconds{100};
    Duration maximumDelay = std::chrono::microseconds{600};
    double lossShare = 0;

    bool operator==(const NetworkBehaviour &) const = default;
};

/** Result that a caller received. */
struct CallerAnswer {
    enum class Kind {
        Answered, ///< complete answer of an upstream, or the stored one
        Incomplete, ///< the answer ended early
        Refused,
        Lost, ///< the instance went down before it answered
    };
    Kind kind = Kind::Lost;
    int status = 0;
    bool stale = false; ///< a relayed answer violated the contract
    core::Refusal refusal;
    Duration latency{};
};

/** Fleet of instances in virtual time. */
class VirtualFleet
{
public:
    using AnswerHandler = std::function<void(const CallerAnswer &)>;
    using DecisionHandler = std::function<void(TimePoint now, const InstanceId &instance, const core::LogDecision &decision)>;

    VirtualFleet(std::size_t instances, std::size_t dataCentres, std::uint64_t seed);

    /** Appends a publish record to the log. */
    void publish(const CustomerId &customer, configuration::Version base, std::optional<std::string> body, const std::string &publishId);

    /** Creates fakes for all upstreams of a policy. */
    void addUpstreams(const contract::CustomerPolicy &policy);

    /** Advances virtual time. */
    void run(Duration duration);

    /** Sends a request to an instance. The handler is called once; if the instance is down, immediately with Lost. */
    core::RequestId request(std::size_t instance, core::CallerRequest request, AnswerHandler handler);

    /** The caller closes its connection: its handler is dropped and the instance is told. */
    void abandon(std::size_t instance, core::RequestId request);

    /** Makes open connections of an instance to an upstream permanently silent; new connections work. */
    void silenceConnections(std::size_t instance, const UpstreamId &upstream, int connections);

    /** Queries an instance for the outcome of a key. */
    void queryOutcome(std::size_t instance, const std::string &key, AnswerHandler handler);

    /** Placement reply of an instance; a refusal when it is down. */
    core::PlacementReply place(std::size_t instance, const core::PlacementQuery &query);

    /** Index of the instance with this caller address; instances.size() when there is none. */
    std::size_t instanceAt(const std::string &address) const;

    void crash(std::size_t instance); ///< stops immediately
    void restart(std::size_t instance); ///< starts a new incarnation
    void pause(std::size_t instance, Duration duration); ///< inputs are deferred and processed together at the end
    void stop(std::size_t instance); ///< planned stop

    /** Blocks or restores messages from one instance to another, in this direction only. */
    void cut(std::size_t from, std::size_t to, bool isCut);

    /** Blocks or restores the path from an instance to an upstream; attempts time out while it is blocked. */
    void cutUpstream(std::size_t instance, const UpstreamId &upstream, bool isCut);

    bool isUp(std::size_t instance) const;
    bool stopFinished(std::size_t instance) const;
    std::size_t size() const;
    Incarnation incarnation(std::size_t instance) const;
    core::Instance &core(std::size_t instance);
    TimePoint now() const;

    EventQueue events;
    FakeLog log{std::chrono::hours{24}};
    NetworkBehaviour network;
    RandomSource random;
    std::map<UpstreamId, FakeUpstream> upstreams;
    std::map<std::string, int> runs; ///< number of runs at upstreams per idempotency key
    std::set<std::uint64_t> crashers; ///< fingerprints of requests that crash upstreams
    DecisionHandler onDecision;
    std::uint64_t controlMessages = 0;
    std::uint64_t controlBytes = 0;
    std::vector<std::uint64_t> controlBytesByKind =
        std::vector<std::uint64_t>(std::variant_size_v<core::PeerMessage>); ///< by variant index of PeerMessage
    std::uint64_t attempts = 0;
    bool listIsUp = true;
    std::vector<std::string> leavingUpstreams; ///< addresses listed as leaving in the instance list

private:
    struct Pending {
        AnswerHandler handler;
        TimePoint sent;
        bool relaying = false;
        core::AttemptId attempt = 0;
        int status = 0;
        bool stale = false;
        std::string key;
        std::uint64_t fingerprint = 0;
        std::uint64_t bodyBytes = 0;
        core::CallerRequest request;
    };
    struct RunningAttempt {
        core::RequestId request = 0;
        UpstreamId upstream;
        bool cancelled = false;
        bool reachedUpstream = false;
        core::DispatchAttempt order;
        UpstreamAnswer answer;
    };
    struct Node {
        membership::Member member;
        std::unique_ptr<core::Instance> core;
        std::map<core::RequestId, Pending> pending;
        std::map<core::AttemptId, RunningAttempt> attempts;
        std::vector<EventQueue::Action> deferredInputs; ///< inputs deferred during a pause
        std::uint64_t generation = 0; ///< incremented at each start and crash; events of earlier generations are dropped
        bool up = false;
        bool paused = false;
        bool stopped = false;
    };
    using Input = std::function<core::Effects(core::Instance &)>;

    void start(std::size_t index);
    void input(std::size_t index, std::uint64_t generation, Input input);
    void carryOut(std::size_t index, const core::Effects &effects);
    void carryOut(std::size_t index, const core::DispatchAttempt &effect);
    void carryOut(std::size_t index, const core::CancelAttempt &effect);
    void carryOut(std::size_t index, const core::RelayAnswer &effect);
    void carryOut(std::size_t index, const core::RelayStored &effect);
    void carryOut(std::size_t index, const core::Refuse &effect);
    void carryOut(std::size_t index, const core::ForwardToPeer &effect);
    void carryOut(std::size_t index, const core::SendPeerMessage &effect);
    void carryOut(std::size_t index, const core::ReadLog &effect);
    void carryOut(std::size_t index, const core::AppendLog &effect);
    void carryOut(std::size_t index, const core::LogDecision &effect);
    void carryOut(std::size_t index, const core::StopFinished &effect);
    void onAccepted(std::size_t index,
                    std::uint64_t generation,
                    core::AttemptId attempt,
                    const UpstreamId &upstream,
                    const UpstreamAnswer &answer);
    bool takesDeadConnection(std::size_t index, const core::DispatchAttempt &effect);
    void orphan(const UpstreamId &upstream, const UpstreamAnswer &answer);
    void sendHead(std::size_t index, std::uint64_t generation, core::AttemptId attempt, const UpstreamAnswer &answer);
    void endAttempt(std::size_t index, std::uint64_t generation, core::AttemptId attempt, core::AttemptEnd end);
    void crashUpstream(const UpstreamId &upstream);
    void answer(std::size_t index, core::RequestId request, CallerAnswer answer);
    void scheduleTick(std::size_t index, std::uint64_t generation);
    void scheduleList(std::size_t index, std::uint64_t generation);
    core::PlatformList platformList() const;
    Duration delay();
    bool reaches(std::size_t from, std::size_t to) const;
    std::size_t indexOf(const InstanceId &id) const;

    std::vector<Node> m_nodes;
    std::map<InstanceId, std::size_t> m_byId;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::set<std::pair<std::size_t, UpstreamId>> m_upstreamCuts;
    std::map<std::pair<std::size_t, UpstreamId>, int> m_deadConnections; ///< number of permanently silent open connections
    std::map<std::pair<std::size_t, UpstreamId>, TimePoint> m_lastAnswer; ///< time of the last answer on an open connection
    core::RequestId m_nextRequest = 1;
    Incarnation m_nextIncarnation = 1000;
};

} // namespace jackdawdoor::fakes
