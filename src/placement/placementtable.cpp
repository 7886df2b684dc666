#include "placement/placementtable.h"

#include "base/stablehash.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::placement {

using membership::Member;
using membership::MemberState;

bool PlacementTable::Ranked::before(const Ranked &other) const
{
    return weight != other.weight ? weight > other.weight : id < other.id;
}

PlacementTable::PlacementTable(membership::MembershipViewPointer view)
    : m_view(std::move(view))
{
    computeEligible();
}

const membership::MembershipView &PlacementTable::view() const
{
    return *m_view;
}

const std::vector<InstanceId> &PlacementTable::eligible() const
{
    return m_eligible;
}

void PlacementTable::computeEligible()
{
    m_eligible.clear();
    m_liveByDataCentre.clear();
    std::vector<InstanceId> fallback;
    for (const Member &member : m_view->members) {
        if (member.state == MemberState::Live) {
            m_eligible.push_back(member.ref.id);
            m_liveByDataCentre[member.dataCentre].push_back(member.ref.id);
        } else if (member.state == MemberState::Leaving || member.state == MemberState::Suspect) {
            fallback.push_back(member.ref.id);
        }
    }
    m_eligibleAreLive = !m_eligible.empty();
    if (!m_eligibleAreLive) {
        m_eligible = std::move(fallback);
    }
}

void PlacementTable::update(membership::MembershipViewPointer view)
{
    if (view->epoch == m_view->epoch && view->self == m_view->self) {
        return;
    }
    const std::vector<InstanceId> earlier = std::move(m_eligible);
    m_view = std::move(view);
    computeEligible();

    std::vector<InstanceId> gone;
    std::set_difference(earlier.begin(), earlier.end(), m_eligible.begin(), m_eligible.end(), std::back_inserter(gone));
    std::vector<InstanceId> added;
    std::set_difference(m_eligible.begin(), m_eligible.end(), earlier.begin(), earlier.end(), std::back_inserter(added));
    // Recomputing the rankings is cheaper than applying a large difference.
    if (gone.size() + added.size() > m_eligible.size() / 4) {
        m_rankings.clear();
        return;
    }
    for (const InstanceId &id : gone) {
        removeFromRankings(id);
    }
    for (const InstanceId &id : added) {
        addToRankings(id);
    }
}

void PlacementTable::removeFromRankings(const InstanceId &id)
{
    for (auto &[service, ranking] : m_rankings) {
        std::erase_if(ranking.top, [&id](const Ranked &ranked) {
            return ranked.id == id;
        });
    }
}

void PlacementTable::addToRankings(const InstanceId &id)
{
    for (auto &[service, ranking] : m_rankings) {
        const Ranked added{rendezvousWeight(service.value, id.value), id};
        // Members below the last stored rank aren't known, so the new member's position there can't be determined.
        if (ranking.top.empty() || !added.before(ranking.top.back())) {
            continue;
        }
        const auto place = std::find_if(ranking.top.begin(), ranking.top.end(), [&added](const Ranked &ranked) {
            return added.before(ranked);
        });
        ranking.top.insert(place, added);
        if (ranking.top.size() > ranking.requested + spareRanks) {
            ranking.top.pop_back();
        }
    }
}

void PlacementTable::recompute(const ServiceId &service, Ranking &ranking) const
{
    // Sorts indices, because copying 4,100 ids would cost more than hashing them.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> all;
    all.reserve(m_eligible.size());
    for (std::uint32_t index = 0; index < m_eligible.size(); ++index) {
        all.emplace_back(rendezvousWeight(service.value, m_eligible[index].value), index);
    }
    const std::size_t kept = std::min(all.size(), ranking.requested + spareRanks);
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(kept), all.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    ranking.top.clear();
    for (std::size_t rank = 0; rank < kept; ++rank) {
        ranking.top.push_back(Ranked{all[rank].first, m_eligible[all[rank].second]});
    }
}

const PlacementTable::Ranking &PlacementTable::ranking(const ServiceId &service, std::size_t count)
{
    Ranking &ranking = m_rankings[service];
    if (ranking.top.size() < std::min(count, m_eligible.size())) {
        ranking.requested = std::max(ranking.requested, count);
        recompute(service, ranking);
    }
    return ranking;
}

std::vector<const Member *> PlacementTable::rank(const ServiceId &service, std::size_t count)
{
    const Ranking &found = ranking(service, count);
    std::vector<const Member *> members;
    for (const Ranked &ranked : found.top) {
        if (members.size() == count) {
            break;
        }
        members.push_back(m_view->find(ranked.id));
    }
    return members;
}

const Member *PlacementTable::coordinator(const ServiceId &service)
{
    const auto first = rank(service, 1);
    return first.empty() ? nullptr : first.front();
}

std::vector<const Member *> PlacementTable::holders(const contract::ServicePolicy &policy)
{
    return rank(policy.id, static_cast<std::size_t>(std::max(policy.holders, 1)));
}

const Member *PlacementTable::firstLiveMember(std::string_view key, const InstanceId &except, const DataCentreId &preferred) const
{
    const auto best = [&](const std::vector<InstanceId> &candidates) -> const Member * {
        const InstanceId *first = nullptr;
        std::uint64_t largest = 0;
        for (const InstanceId &id : candidates) {
            const std::uint64_t weight = rendezvousWeight(key, id.value);
            // Candidates are sorted by id, so the smallest id wins among equal weights.
            if (id != except && (first == nullptr || weight > largest)) {
                first = &id;
                largest = weight;
            }
        }
        return first != nullptr ? m_view->find(*first) : nullptr;
    };
    const auto near = m_liveByDataCentre.find(preferred);
    const Member *found = near == m_liveByDataCentre.end() ? nullptr : best(near->second);
    if (found == nullptr && m_eligibleAreLive) {
        found = best(m_eligible);
    }
    return found;
}

} // namespace jackdawdoor::placement
