#include "configuration/configuration.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace jackdawdoor::configuration {

using membership::Member;
using membership::MembershipView;

Configuration::Configuration(InstanceRef self, ContractCompiler compile, RandomSource &random)
    : m_self(std::move(self))
    , m_random(random)
    , m_table(std::move(compile))
    , m_reader(m_self.id, random)
    , m_scheduler(m_self.id)
{
}

ConfigurationStep Configuration::onTick(TimePoint now, const MembershipView &view)
{
    if (view.epoch != m_peersEpoch) {
        m_peersEpoch = view.epoch;
        m_peers.clear();
        for (const Member *member : view.live()) {
            if (member->ref.id != m_self.id) {
                m_peers.push_back(member->ref);
            }
        }
    }
    ConfigurationStep step;
    step.read = m_reader.onTick(now, view, m_table.nextOffset(), m_table.completeAsOf() > 0);
    if (m_reader.isCurrent(now)) {
        if (const auto record = m_scheduler.onTick(now, view, m_table, m_retention)) {
            step.append.push_back(encodeRecord(*record));
        }
    }
    if (!m_peers.empty() && (!m_nextDigest || now >= *m_nextDigest)) {
        m_nextDigest = now + digestInterval;
        const std::size_t chosen = std::uniform_int_distribution<std::size_t>{0, m_peers.size() - 1}(m_random);
        step.messages.push_back({m_peers[chosen], ownDigest(now)});
        std::erase_if(m_requestedAt, [now](const auto &request) {
            return now - request.second >= requestRetryInterval;
        });
    }
    return step;
}

ConfigurationStep Configuration::onLogPage(TimePoint now, const LogPage &page)
{
    ConfigurationStep step;
    m_retention = page.retention;
    m_reader.onPage(now, page);
    step.decisions = m_table.applyPage(now, page);
    reportChanges(now, step);
    return step;
}

ConfigurationStep Configuration::onLogFailed(TimePoint now)
{
    m_reader.onFailed(now);
    return {};
}

ConfigurationStep Configuration::onPeerMessage(TimePoint now, const InstanceRef &from, const ConfigurationMessage &message)
{
    ConfigurationStep step;
    std::visit(
        [&](const auto &typed) {
            handle(now, from, typed, step);
        },
        message);
    reportChanges(now, step);
    return step;
}

Digest Configuration::ownDigest(TimePoint now) const
{
    Digest digest{m_table.digest(), m_table.completeAsOf(), std::nullopt, Duration{}};
    if (const auto &cycleEnd = m_table.cycleEnd()) {
        digest.cycleEnd = cycleEnd->offset;
        digest.cycleEndAge = std::chrono::duration_cast<Duration>(now - cycleEnd->time);
    }
    return digest;
}

void Configuration::handle(TimePoint now, const InstanceRef &from, const Digest &digest, ConfigurationStep &step)
{
    if (digest.cycleEnd) {
        m_table.mergeCycleEnd(Checkpoint{*digest.cycleEnd, now - digest.cycleEndAge});
    }
    if (digest.hash != m_table.digest()) {
        step.messages.push_back({from, BucketDigest{m_table.bucketHashes()}});
        return;
    }
    if (digest.completeAsOf > 0) {
        step.decisions = m_table.adoptComplete(digest.completeAsOf);
    }
    // The sender, which may have no access to the log, can adopt this digest. It then has as much and doesn't reply.
    const Digest own = ownDigest(now);
    if (own.completeAsOf > digest.completeAsOf) {
        step.messages.push_back({from, own});
    }
}

void Configuration::handle(TimePoint now, const InstanceRef &from, const BucketDigest &digest, ConfigurationStep &step)
{
    const std::vector<std::uint64_t> own = m_table.bucketHashes();
    std::vector<std::uint32_t> buckets;
    for (std::size_t count = 0; count < digestBuckets; ++count) {
        const std::size_t bucket = (m_firstBucket + count) % digestBuckets;
        if (digest.hashes.size() == digestBuckets && digest.hashes[bucket] != own[bucket]) {
            buckets.push_back(static_cast<std::uint32_t>(bucket));
        }
    }
    m_firstBucket = (m_firstBucket + 1) % digestBuckets;
    if (!buckets.empty()) {
        step.messages.push_back({from, summariesOf(now, buckets)});
    }
}

/** Summaries of as many of these buckets as fit into one message, and of at least one. */
Summaries Configuration::summariesOf(TimePoint now, const std::vector<std::uint32_t> &buckets)
{
    std::map<std::uint32_t, std::vector<Summary>> byBucket;
    for (const auto &[customer, version] : m_table.versions()) {
        byBucket[static_cast<std::uint32_t>(VersionTable::bucketOf(customer))].push_back(*m_table.summaryOf(now, customer));
    }
    Summaries summaries;
    for (const std::uint32_t bucket : buckets) {
        std::vector<Summary> &inBucket = byBucket[bucket];
        const std::size_t total = summaries.summaries.size() + inBucket.size();
        if (total <= maximumSummaries) {
            summaries.buckets.push_back(bucket);
            std::move(inBucket.begin(), inBucket.end(), std::back_inserter(summaries.summaries));
        } else if (summaries.summaries.empty()) {
            // Of a bucket too large for one message a random part is sent, without marking the bucket as complete.
            std::shuffle(inBucket.begin(), inBucket.end(), m_random);
            inBucket.resize(maximumSummaries);
            summaries.summaries = std::move(inBucket);
            break;
        }
    }
    return summaries;
}

bool Configuration::mayRequest(TimePoint now, const CustomerId &customer)
{
    const auto requested = m_requestedAt.find(customer);
    if (requested != m_requestedAt.end() && now - requested->second < requestRetryInterval) {
        return false;
    }
    m_requestedAt[customer] = now;
    return true;
}

/** True when this instance's summary has a higher version, or a later checkpoint of the same version. */
bool Configuration::isNewer(const Summary &own, const Summary &other) const
{
    if (own.version != other.version) {
        return own.version > other.version;
    }
    return own.checkpoint && (!other.checkpoint || *own.checkpoint > *other.checkpoint);
}

void Configuration::handle(TimePoint now, const InstanceRef &from, const Summaries &summaries, ConfigurationStep &step)
{
    StateRequest wanted;
    Summaries newer;
    std::set<CustomerId> named;
    for (const Summary &summary : summaries.summaries) {
        named.insert(summary.customer);
        const auto own = m_table.summaryOf(now, summary.customer);
        if ((!own || own->version < summary.version) && mayRequest(now, summary.customer)) {
            wanted.customers.push_back(summary.customer);
        }
        if (own && isNewer(*own, summary)) {
            newer.summaries.push_back(*own);
        }
        std::vector<PublishDecision> decisions = m_table.mergeSummary(now, summary);
        std::move(decisions.begin(), decisions.end(), std::back_inserter(step.decisions));
    }
    const std::set<std::uint32_t> complete{summaries.buckets.begin(), summaries.buckets.end()};
    if (!complete.empty()) {
        for (const auto &[customer, version] : m_table.versions()) {
            const bool missing =
                complete.count(static_cast<std::uint32_t>(VersionTable::bucketOf(customer))) != 0 && named.count(customer) == 0;
            if (missing && newer.summaries.size() < maximumSummaries) {
                newer.summaries.push_back(*m_table.summaryOf(now, customer));
            }
        }
    }
    if (!wanted.customers.empty()) {
        step.messages.push_back({from, std::move(wanted)});
    }
    if (!newer.summaries.empty()) {
        step.messages.push_back({from, std::move(newer)});
    }
}

void Configuration::handle(TimePoint, const InstanceRef &from, const StateRequest &request, ConfigurationStep &step)
{
    States states;
    std::size_t bytes = 0;
    for (const CustomerId &customer : request.customers) {
        auto state = m_table.stateOf(customer);
        if (!state) {
            continue;
        }
        // The customer's id, numbers and framing count as well as the body; 64 bytes stand for numbers and framing.
        bytes += customer.value.size() + 64 + (state->body ? state->body->size() : 0);
        if (bytes > maximumMessageBytes && !states.states.empty()) {
            break;
        }
        states.states.push_back(std::move(*state));
    }
    if (!states.states.empty()) {
        step.messages.push_back({from, std::move(states)});
    }
}

void Configuration::handle(TimePoint now, const InstanceRef &from, const States &states, ConfigurationStep &step)
{
    // States that didn't fit into this message may be requested again at once.
    m_requestedAt.clear();
    const std::uint64_t before = m_table.digest();
    for (const CustomerState &state : states.states) {
        std::vector<PublishDecision> decisions = m_table.merge(state);
        std::move(decisions.begin(), decisions.end(), std::back_inserter(step.decisions));
    }
    // Continues the exchange at once, so that a starting instance doesn't get only one message per digest interval.
    if (m_table.digest() != before) {
        step.messages.push_back({from, ownDigest(now)});
    }
}

void Configuration::reportChanges(TimePoint now, ConfigurationStep &step)
{
    const std::vector<CustomerId> changed = m_table.takeChanged();
    for (const CustomerId &customer : changed) {
        step.changes.push_back({customer, m_table.versionOf(customer), m_table.policyOf(customer)});
    }
    if (!changed.empty() && changed.size() <= maximumAnnouncedVersions) {
        announce(now, changed, step);
    }
}

void Configuration::announce(TimePoint now, const std::vector<CustomerId> &customers, ConfigurationStep &step)
{
    Summaries summaries;
    for (const CustomerId &customer : customers) {
        summaries.summaries.push_back(*m_table.summaryOf(now, customer));
    }
    std::vector<InstanceRef> chosen;
    std::sample(m_peers.begin(), m_peers.end(), std::back_inserter(chosen), announcementFanout, m_random);
    for (const InstanceRef &peer : chosen) {
        step.messages.push_back({peer, summaries});
    }
}

PolicyPointer Configuration::policyOf(const CustomerId &customer) const
{
    return m_table.policyOf(customer);
}

std::map<CustomerId, Version> Configuration::versions() const
{
    return m_table.versions();
}

std::optional<CustomerState> Configuration::stateOf(const CustomerId &customer) const
{
    return m_table.stateOf(customer);
}

Offset Configuration::nextOffset() const
{
    return m_table.nextOffset();
}

Offset Configuration::completeAsOf() const
{
    return m_table.completeAsOf();
}

bool Configuration::ready() const
{
    return m_table.contracts() > 0;
}

} // namespace jackdawdoor::configuration
