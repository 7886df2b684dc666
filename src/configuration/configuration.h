/** Configuration module of one instance: reads the log, gossips versions with peers, renews snapshots in the log. */
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

/** Number of peers to which a new version is announced at once. */
constexpr std::size_t announcementFanout = 3;
constexpr Duration digestInterval = std::chrono::seconds{1};
/** More versions at once are not announced: they come from catching up, and peers know them or find them by digests. */
constexpr std::size_t maximumAnnouncedVersions = 16;
/** A body that was requested and didn't arrive is requested again after this time. */
constexpr Duration requestRetryInterval = std::chrono::seconds{1};

/** Change of the contract in force of a customer. */
struct ConfigurationChange {
    CustomerId customer;
    Version version = 0;
    PolicyPointer policy; ///< null when the customer was deleted

    bool operator==(const ConfigurationChange &) const = default;
};

/** Actions and changes that result from one input. */
struct ConfigurationStep {
    std::vector<Outgoing<ConfigurationMessage>> messages;
    std::optional<LogRead> read; ///< answered by onLogPage() or onLogFailed()
    std::vector<std::string> append; ///< encoded records to append; acknowledgements aren't needed
    std::vector<ConfigurationChange> changes;
    std::vector<PublishDecision> decisions; ///< on publishes read from the log, for the decision log
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

    /** Policy in force; null when this instance has no contract of the customer. */
    PolicyPointer policyOf(const CustomerId &customer) const;

    /** Version of each known customer, tombstones included. */
    std::map<CustomerId, Version> versions() const;

    /** State that a publisher uses as the base of its publish. */
    std::optional<CustomerState> stateOf(const CustomerId &customer) const;

    /** First offset of the log not yet read; with completeAsOf() it shows how current this instance is. */
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
    void reportChanges(TimePoint now, ConfigurationStep &step);
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
    std::size_t m_firstBucket = 0; ///< rotates, so that all buckets are reconciled when many differ
};

} // namespace jackdawdoor::configuration
