/** The configuration module of one instance: reads the log, spreads versions between peers, keeps snapshots alive. */
#pragma once

#include "base/outgoing.h"
#include "base/random.h"
#include "base/time.h"
#include "configuration/configurationmessage.h"
#include "configuration/contractcompiler.h"
#include "configuration/logpage.h"
#include "configuration/logreader.h"
#include "configuration/snapshotscheduler.h"
#include "configuration/versiontable.h"
#include "membership/membershipview.h"

#include <map>
#include <optional>
#include <vector>

namespace jackdawdoor::configuration {

/** Peers to which a new version is announced at once. */
constexpr std::size_t announcementFanout = 3;
constexpr Duration digestInterval = std::chrono::seconds{1};
/** More versions than this at once come from catching up; peers know them or find them by digests. */
constexpr std::size_t maximumAnnouncedVersions = 16;
/** A body that was asked for and didn't come is asked for again after this time. */
constexpr Duration requestRetryInterval = std::chrono::seconds{1};

/** A customer whose contract in force changed. */
struct ConfigurationChange {
    CustomerId customer;
    Version version = 0;
    PolicyPointer policy; ///< null when the customer was deleted

    bool operator==(const ConfigurationChange &) const = default;
};

/** What an input leads to. */
struct ConfigurationStep {
    std::vector<Outgoing<ConfigurationMessage>> messages;
    std::optional<LogRead> read; ///< answered by onLogPage() or onLogFailed()
    std::vector<std::string> append; ///< encoded records; their acknowledgements aren't needed
    std::vector<ConfigurationChange> changes;
    std::vector<PublishDecision> decisions; ///< publishes decided from the log, for the decision log
};

/** Contract versions of one instance. */
class Configuration
{
public:
    /** The random source must outlive this object. */
    Configuration(InstanceRef self, ContractCompiler compile, RandomSource &random);

    ConfigurationStep onTick(TimePoint now, const membership::MembershipView &view);
    ConfigurationStep onLogPage(TimePoint now, const LogPage &page);
    ConfigurationStep onLogFailed(TimePoint now);
    ConfigurationStep onPeerMessage(TimePoint now, const InstanceRef &from, const ConfigurationMessage &message);

    /** Policy in force; null when the customer has no contract here. */
    PolicyPointer policyOf(const CustomerId &customer) const;

    /** Version of each known customer, tombstones included. */
    std::map<CustomerId, Version> versions() const;

    /** The state that a publisher needs as its base. */
    std::optional<CustomerState> stateOf(const CustomerId &customer) const;

    /** First offset of the log that was not read; with completeAsOf() it tells how current this instance is. */
    Offset nextOffset() const;
    Offset completeAsOf() const;

    /** True when at least one contract is in force. */
    bool ready() const;

private:
    void handle(TimePoint now, const InstanceRef &from, const Digest &digest, ConfigurationStep &step);
    void handle(TimePoint now, const InstanceRef &from, const BucketDigest &digest, ConfigurationStep &step);
    void handle(TimePoint now, const InstanceRef &from, const Summaries &summaries, ConfigurationStep &step);
    void handle(TimePoint now, const InstanceRef &from, const StateRequest &request, ConfigurationStep &step);
    void handle(TimePoint now, const InstanceRef &from, const States &states, ConfigurationStep &step);
    Digest ownDigest(TimePoint now) const;
    Summaries summariesOf(TimePoint now, const std::vector<std::uint32_t> &buckets);
    bool mayRequest(TimePoint now, const CustomerId &customer);
    bool isNewer(const Summary &own, const Summary &other) const;
    void finish(TimePoint now, ConfigurationStep &step);
    void announce(TimePoint now, const std::vector<CustomerId> &customers, ConfigurationStep &step);

    InstanceRef m_self;
    RandomSource &m_random;
    VersionTable m_table;
    LogReader m_reader;
    SnapshotScheduler m_scheduler;
    std::vector<InstanceRef> m_peers; ///< live members of the last view, without this instance
    std::uint64_t m_peersEpoch = 0;
    std::map<CustomerId, TimePoint> m_requestedAt;
    std::optional<TimePoint> m_nextDigest;
    Duration m_retention{};
    std::size_t m_firstBucket = 0; ///< rotates, so that many differences are worked off
};

} // namespace jackdawdoor::configuration
