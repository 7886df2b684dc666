#include "limits/slotleasemanager.h"

#include "limits/fairshare.h"

#include <algorithm>

namespace jackdawdoor::limits {

namespace {

/** Added to the lease term at the coordinator; tolerates clocks of holders that run slower by up to 5% over a term. */
constexpr Duration clockMargin = std::chrono::milliseconds{100};
/** The remainder of an uneven division moves to the next holder after this many lease terms. */
constexpr int termsPerRotation = 2;

} // namespace

SlotLeaseManager::SlotLeaseManager(TimePoint now, const contract::ServicePolicy &policy, std::uint64_t policyVersion)
    : m_policy(policy)
    , m_indices(policy, policyVersion)
    , m_graceUntil(now + guardedTerm())
{
    for (const auto &upstream : policy.upstreams) {
        m_targets.push_back({upstream.id, upstream.slots, upstream.slots, now, upstream.slots});
    }
}

SlotGrant SlotLeaseManager::onDemand(TimePoint now, const InstanceRef &from, const SlotDemand &demand)
{
    SlotGrant answer{m_policy.id, demand.policyVersion, demand.sequence, 0, m_policy.slotLeaseTerm, {}};
    if (demand.service != m_policy.id || !m_indices.knows(demand.policyVersion)) {
        answer.policyVersion = m_indices.currentVersion();
        return answer;
    }
    onTick(now);
    auto &holder = m_holders[from];
    if (demand.sequence <= holder.lastSequence) {
        // A late or duplicate report: its demand is outdated, and the holder would ignore the answer.
        return answer;
    }
    std::vector<int> held(m_targets.size(), 0);
    recordDemand(now, holder, demand, held);

    Grant grant{m_nextNumber++, now + guardedTerm(), std::vector<int>(m_targets.size(), 0)};
    answer.number = grant.number;
    for (std::size_t target = 0; target < m_targets.size(); ++target) {
        const auto wireIndex = m_indices.fromCurrent(demand.policyVersion, target);
        if (!wireIndex) {
            continue;
        }
        const int available = leasableNow(now, m_targets[target]) - committedToOthers(now, from, target);
        const int share = now < m_graceUntil ? held[target] : fairShare(now, from, target);
        grant.slots[target] = std::max(0, std::min(share, available));
        if (grant.slots[target] > 0) {
            answer.targets.push_back({static_cast<std::uint32_t>(*wireIndex), static_cast<std::uint32_t>(grant.slots[target])});
        }
    }
    holder.grants.push_back(std::move(grant));
    return answer;
}

void SlotLeaseManager::recordDemand(TimePoint now, Holder &holder, const SlotDemand &demand, std::vector<int> &held)
{
    holder.lastSequence = demand.sequence;
    holder.expires = now + guardedTerm();
    holder.inUse.assign(m_targets.size(), 0);
    holder.wanted.assign(m_targets.size(), 0);
    for (const auto &target : demand.targets) {
        const auto index = m_indices.toCurrent(demand.policyVersion, target.upstream);
        if (!index) {
            continue;
        }
        const int slots = m_targets[*index].slots;
        const auto bounded = [slots](std::uint32_t value) {
            return static_cast<int>(std::min<std::uint32_t>(value, static_cast<std::uint32_t>(slots)));
        };
        holder.inUse[*index] = bounded(target.inUse);
        holder.wanted[*index] = bounded(target.wanted);
        held[*index] = bounded(target.held);
    }
    // A confirmed grant supersedes the earlier ones, which the holder ignores from then on.
    while (!holder.grants.empty() && holder.grants.front().number < demand.confirmed) {
        holder.grants.pop_front();
    }
}

void SlotLeaseManager::onTick(TimePoint now)
{
    for (auto holder = m_holders.begin(); holder != m_holders.end();) {
        auto &grants = holder->second.grants;
        std::erase_if(grants, [now](const Grant &grant) {
            return grant.expires <= now;
        });
        holder = grants.empty() && holder->second.expires <= now ? m_holders.erase(holder) : std::next(holder);
    }
}

int SlotLeaseManager::committedTo(TimePoint now, const Holder &holder, std::size_t target)
{
    int committed = 0;
    if (holder.expires > now && target < holder.inUse.size()) {
        committed = holder.inUse[target];
    }
    for (const auto &grant : holder.grants) {
        if (grant.expires > now && target < grant.slots.size()) {
            committed = std::max(committed, grant.slots[target]);
        }
    }
    return committed;
}

int SlotLeaseManager::committedToOthers(TimePoint now, const InstanceRef &holder, std::size_t target) const
{
    int committed = 0;
    for (const auto &[instance, other] : m_holders) {
        committed += instance == holder ? 0 : committedTo(now, other, target);
    }
    return committed;
}

int SlotLeaseManager::fairShare(TimePoint now, const InstanceRef &holder, std::size_t target) const
{
    std::vector<int> wanted;
    std::size_t position = 0;
    for (const auto &[instance, other] : m_holders) {
        if (instance == holder) {
            position = wanted.size();
        }
        wanted.push_back(other.expires > now ? other.wanted[target] : 0);
    }
    const auto rotationTime = termsPerRotation * guardedTerm();
    const auto rotation = static_cast<std::size_t>(now.time_since_epoch() / rotationTime);
    // Different targets favour different holders, so that one holder does not get the remainder of all of them.
    return maxMinShares(leasableNow(now, m_targets[target]), wanted, rotation + target)[position];
}

void SlotLeaseManager::setVisibility(TimePoint now, int listed, int visible)
{
    m_listed = listed;
    m_visible = visible;
    for (auto &target : m_targets) {
        setLeasable(now, target, visibleSlots(target.slots, listed, visible));
    }
}

void SlotLeaseManager::setLeasable(TimePoint now, Target &target, int slots) const
{
    target.leasable = leasableNow(now, target);
    if (slots <= target.leasable) {
        target.leasable = slots;
        target.raisedTo = slots;
        return;
    }
    // The coordinator on the other side of a partition may have leased the difference; its leases end within one term.
    if (slots != target.raisedTo || target.raisedTo == target.leasable) {
        target.raisedTo = slots;
        target.raiseAt = now + guardedTerm();
    }
}

int SlotLeaseManager::leasableNow(TimePoint now, const Target &target)
{
    return now >= target.raiseAt ? target.raisedTo : target.leasable;
}

void SlotLeaseManager::adoptPolicy(TimePoint now, const contract::ServicePolicy &policy, std::uint64_t policyVersion)
{
    m_indices.adopt(policy, policyVersion);
    std::vector<Target> targets;
    std::vector<std::optional<std::size_t>> former;
    for (const auto &upstream : policy.upstreams) {
        const auto found = std::find_if(m_targets.begin(), m_targets.end(), [&upstream](const Target &target) {
            return target.id == upstream.id;
        });
        const bool known = found != m_targets.end();
        former.push_back(known ? std::optional{static_cast<std::size_t>(found - m_targets.begin())} : std::nullopt);
        targets.push_back(known ? *found : Target{upstream.id, 0, 0, now, 0});
        targets.back().slots = upstream.slots;
        setLeasable(now, targets.back(), visibleSlots(upstream.slots, m_listed, m_visible));
    }
    const auto reorder = [&former](std::vector<int> &values) {
        std::vector<int> reordered;
        reordered.reserve(former.size());
        for (const auto &index : former) {
            reordered.push_back(index && *index < values.size() ? values[*index] : 0);
        }
        values = std::move(reordered);
    };
    for (auto &[instance, holder] : m_holders) {
        reorder(holder.inUse);
        reorder(holder.wanted);
        for (auto &grant : holder.grants) {
            reorder(grant.slots);
        }
    }
    m_targets = std::move(targets);
    m_policy = policy;
}

int SlotLeaseManager::committed(TimePoint now, const UpstreamId &upstream) const
{
    const auto target = indexOf(upstream);
    return target ? committedToOthers(now, InstanceRef{}, *target) : 0;
}

int SlotLeaseManager::leasable(TimePoint now, const UpstreamId &upstream) const
{
    const auto target = indexOf(upstream);
    return target ? leasableNow(now, m_targets[*target]) : 0;
}

std::optional<std::size_t> SlotLeaseManager::indexOf(const UpstreamId &upstream) const
{
    const auto found = std::find_if(m_targets.begin(), m_targets.end(), [&upstream](const Target &target) {
        return target.id == upstream;
    });
    return found == m_targets.end() ? std::nullopt : std::optional{static_cast<std::size_t>(found - m_targets.begin())};
}

Duration SlotLeaseManager::guardedTerm() const
{
    return m_policy.slotLeaseTerm + clockMargin;
}

} // namespace jackdawdoor::limits
