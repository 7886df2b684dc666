#include "limits/slotholder.h"

#include <algorithm>

namespace jackdawdoor::limits {

namespace {

constexpr Duration reportInterval = std::chrono::milliseconds{500};
/** Minimum interval of urgent reports: bounds the control traffic of a holder with constant unmet demand. */
constexpr Duration urgentInterval = std::chrono::milliseconds{20};
/** Slots requested beyond the recent peak, so that most requests find a free slot at once. */
constexpr int spareSlots = 1;
/** Reports whose send times are kept, because leases run from them. */
constexpr std::size_t maximumSent = 128;

} // namespace

SlotHolder::SlotHolder(const contract::ServicePolicy &policy, std::uint64_t policyVersion)
    : m_indices(policy, policyVersion)
    , m_wireVersion(policyVersion)
    , m_service(policy.id)
{
    for (const auto &upstream : policy.upstreams) {
        Target target;
        target.id = upstream.id;
        target.slots = upstream.slots;
        m_targets.push_back(target);
    }
    rebuildIndex();
}

bool SlotHolder::tryAcquire(TimePoint now, const UpstreamId &upstream)
{
    auto *target = find(upstream);
    if (target == nullptr) {
        return false;
    }
    if (freeSlots(now, upstream) <= 0) {
        ++target->unmet;
        m_unmet = true;
        return false;
    }
    ++target->inUse;
    target->peakInUse = std::max(target->peakInUse, target->inUse);
    return true;
}

void SlotHolder::release(TimePoint /*now*/, const UpstreamId &upstream)
{
    auto *target = find(upstream);
    if (target != nullptr && target->inUse > 0) {
        --target->inUse;
    }
}

int SlotHolder::freeSlots(TimePoint now, const UpstreamId &upstream) const
{
    const auto *target = find(upstream);
    if (target == nullptr || now >= m_leaseEnd) {
        return 0;
    }
    return std::max(0, target->leased - target->inUse);
}

int SlotHolder::inUse(const UpstreamId &upstream) const
{
    const auto *target = find(upstream);
    return target == nullptr ? 0 : target->inUse;
}

void SlotHolder::setBacklog(int requests)
{
    m_unmet = m_unmet || requests > m_backlog;
    m_backlog = requests;
}

void SlotHolder::setEjected(const UpstreamId &upstream, bool ejected)
{
    if (auto *target = find(upstream)) {
        target->ejected = ejected;
    }
}

std::optional<SlotDemand> SlotHolder::nextDemand(TimePoint now, const InstanceRef &coordinator)
{
    if (coordinator != m_coordinator) {
        m_coordinator = coordinator;
        m_confirmed = 0;
        m_sent.clear();
        m_lastDemand.reset();
    }
    if (!isDue(now)) {
        return std::nullopt;
    }
    const auto usable = std::count_if(m_targets.begin(), m_targets.end(), [](const Target &target) {
        return !target.ejected;
    });
    const int backlogShare = usable == 0 ? 0 : static_cast<int>((m_backlog + usable - 1) / usable);
    SlotDemand demand{m_service, m_wireVersion, ++m_sequence, m_confirmed, {}};
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        auto &target = m_targets[index];
        const auto wireIndex = m_indices.fromCurrent(m_wireVersion, index);
        if (wireIndex) {
            const int held = now < m_leaseEnd ? target.leased : 0;
            demand.targets.push_back({static_cast<std::uint32_t>(*wireIndex),
                                      static_cast<std::uint32_t>(held),
                                      static_cast<std::uint32_t>(target.inUse),
                                      static_cast<std::uint32_t>(wanted(target, backlogShare))});
        }
        target.peakInUse = target.inUse;
        target.unmet = 0;
    }
    std::erase_if(demand.targets, [](const TargetDemand &target) {
        return target.held == 0 && target.inUse == 0 && target.wanted == 0;
    });
    m_sent.push_back({m_sequence, now});
    if (m_sent.size() > maximumSent) {
        m_sent.pop_front();
    }
    m_lastDemand = now;
    m_unmet = false;
    m_confirmationDue = false;
    return demand;
}

bool SlotHolder::isDue(TimePoint now) const
{
    if (!m_lastDemand) {
        return true;
    }
    const auto interval = m_unmet || m_confirmationDue ? urgentInterval : reportInterval;
    return now - *m_lastDemand >= interval;
}

int SlotHolder::wanted(const Target &target, int backlogShare)
{
    if (target.ejected) {
        return std::max(target.inUse, 1);
    }
    return std::min(target.slots, target.peakInUse + spareSlots + std::max(target.unmet, backlogShare));
}

bool SlotHolder::onGrant(TimePoint now, const InstanceRef &from, const SlotGrant &grant)
{
    if (from != m_coordinator || grant.service != m_service) {
        return false;
    }
    if (grant.number == 0) {
        // The coordinator has another policy version. If it is a known one, reports use it until the coordinator catches up.
        if (grant.policyVersion != m_wireVersion && m_indices.knows(grant.policyVersion)) {
            m_wireVersion = grant.policyVersion;
            m_unmet = true;
        }
        return false;
    }
    const auto sent = std::find_if(m_sent.begin(), m_sent.end(), [&grant](const Sent &item) {
        return item.sequence == grant.sequence;
    });
    if (grant.number <= m_confirmed || sent == m_sent.end()) {
        return false;
    }
    std::vector<int> leased(m_targets.size(), 0);
    for (const auto &target : grant.targets) {
        if (const auto index = m_indices.toCurrent(grant.policyVersion, target.upstream)) {
            leased[*index] = static_cast<int>(std::min<std::uint32_t>(target.slots, static_cast<std::uint32_t>(m_targets[*index].slots)));
        }
    }
    const bool stillHeld = now < m_leaseEnd;
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        m_confirmationDue = m_confirmationDue || (stillHeld && leased[index] < m_targets[index].leased);
        m_targets[index].leased = leased[index];
    }
    m_leaseEnd = sent->at + grant.term;
    m_confirmed = grant.number;
    m_sent.erase(m_sent.begin(), sent);
    if (m_wireVersion != m_indices.currentVersion()) {
        // The next report tries the current version again; if the coordinator refuses it, this one is used again.
        m_wireVersion = m_indices.currentVersion();
    }
    return true;
}

void SlotHolder::dropLeases()
{
    m_leaseEnd = TimePoint{};
    for (auto &target : m_targets) {
        target.leased = 0;
    }
    m_lastDemand.reset();
}

void SlotHolder::adoptPolicy(const contract::ServicePolicy &policy, std::uint64_t policyVersion)
{
    m_indices.adopt(policy, policyVersion);
    m_wireVersion = policyVersion;
    std::vector<Target> targets;
    for (const auto &upstream : policy.upstreams) {
        const auto *known = find(upstream.id);
        Target target = known == nullptr ? Target{} : *known;
        target.id = upstream.id;
        target.slots = upstream.slots;
        target.leased = std::min(target.leased, target.slots);
        targets.push_back(target);
    }
    m_targets = std::move(targets);
    rebuildIndex();
}

SlotHolder::Target *SlotHolder::find(const UpstreamId &upstream)
{
    const auto found = m_index.find(upstream);
    return found == m_index.end() ? nullptr : &m_targets[found->second];
}

const SlotHolder::Target *SlotHolder::find(const UpstreamId &upstream) const
{
    const auto found = m_index.find(upstream);
    return found == m_index.end() ? nullptr : &m_targets[found->second];
}

void SlotHolder::rebuildIndex()
{
    m_index.clear();
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        m_index.emplace(m_targets[index].id, index);
    }
}

} // namespace jackdawdoor::limits
