#include "membership/gossipqueue.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::membership {

namespace {

/** Number of times that each instance transmits an update. Four per factor of ten in fleet size reach all members with a
 * wide margin for message loss. */
int transmissions(std::size_t fleetSize)
{
    const double wanted = std::ceil(4.0 * std::log10(static_cast<double>(fleetSize) + 1.0));
    return std::max(3, static_cast<int>(wanted));
}

} // namespace

void GossipQueue::add(const MemberUpdate &update)
{
    m_entries.insert_or_assign(update.ref.id, Entry{update, 0});
}

std::vector<MemberUpdate> GossipQueue::take(std::size_t count, std::size_t fleetSize)
{
    std::vector<Entry *> entries;
    entries.reserve(m_entries.size());
    for (auto &[id, entry] : m_entries) {
        entries.push_back(&entry);
    }
    const auto taken = static_cast<std::ptrdiff_t>(std::min(count, entries.size()));
    std::partial_sort(entries.begin(), entries.begin() + taken, entries.end(), [](const Entry *left, const Entry *right) {
        return left->sent != right->sent ? left->sent < right->sent : left->update.ref.id < right->update.ref.id;
    });
    entries.resize(static_cast<std::size_t>(taken));

    std::vector<MemberUpdate> updates;
    for (Entry *entry : entries) {
        updates.push_back(entry->update);
        ++entry->sent;
    }
    const int limit = transmissions(fleetSize);
    std::erase_if(m_entries, [limit](const auto &item) {
        return item.second.sent >= limit;
    });
    return updates;
}

void GossipQueue::clear()
{
    m_entries.clear();
}

} // namespace jackdawdoor::membership
