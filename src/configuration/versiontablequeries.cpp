// Queries of VersionTable: states, digests and checkpoints.
#include "base/stablehash.h"
#include "configuration/versiontable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawdoor::configuration {

namespace {

/** True for a customer with an accepted publish, deleted ones included. */
bool exists(const CustomerHistory &history)
{
    return history.state() && history.state()->version > 0;
}

std::uint64_t entryHash(const CustomerId &customer, const CustomerHistory &history)
{
    const std::string checkpoint = history.checkpoint ? std::to_string(history.checkpoint->offset) : "none";
    return stableHash(customer.value + '/' + std::to_string(history.state()->version) + '/' + checkpoint);
}

} // namespace

const CustomerHistory *VersionTable::find(const CustomerId &customer) const
{
    const auto found = m_histories.find(customer);
    return found == m_histories.end() ? nullptr : &found->second;
}

Offset VersionTable::completeAsOf() const
{
    Offset complete = absentAsOf();
    for (const auto &[customer, history] : m_histories) {
        complete = std::min(complete, history.effectiveAsOf(m_windowStart, m_next));
    }
    return complete;
}

Offset VersionTable::nextOffset() const
{
    return m_next;
}

std::optional<CustomerState> VersionTable::stateOf(const CustomerId &customer) const
{
    const CustomerHistory *history = find(customer);
    if (history == nullptr || !exists(*history)) {
        return std::nullopt;
    }
    CustomerState state = *history->state();
    state.asOf = history->effectiveAsOf(m_windowStart, m_next);
    return state;
}

Version VersionTable::versionOf(const CustomerId &customer) const
{
    const CustomerHistory *history = find(customer);
    return history != nullptr && history->state() ? history->state()->version : 0;
}

PolicyPointer VersionTable::policyOf(const CustomerId &customer) const
{
    const CustomerHistory *history = find(customer);
    return history != nullptr ? history->policy() : nullptr;
}

bool VersionTable::isCurrent(const CustomerId &customer) const
{
    const CustomerHistory *history = find(customer);
    const Offset asOf = history != nullptr ? history->effectiveAsOf(m_windowStart, m_next) : absentAsOf();
    return asOf >= m_next;
}

std::optional<Checkpoint> VersionTable::checkpointOf(const CustomerId &customer) const
{
    const CustomerHistory *history = find(customer);
    return history != nullptr ? history->checkpoint : std::nullopt;
}

std::optional<CustomerId> VersionTable::customerAfter(const std::optional<CustomerId> &customer) const
{
    auto item = customer ? m_histories.upper_bound(*customer) : m_histories.begin();
    while (item != m_histories.end() && !exists(item->second)) {
        ++item;
    }
    return item == m_histories.end() ? std::nullopt : std::optional{item->first};
}

std::map<CustomerId, Version> VersionTable::versions() const
{
    std::map<CustomerId, Version> versions;
    for (const auto &[customer, history] : m_histories) {
        if (exists(history)) {
            versions.emplace(customer, history.state()->version);
        }
    }
    return versions;
}

std::vector<CustomerId> VersionTable::takeChanged()
{
    const std::set<CustomerId> changed = std::exchange(m_changed, {});
    return {changed.begin(), changed.end()};
}

std::optional<Offset> VersionTable::possibleCycleEnd() const
{
    Offset asOf = completeAsOf();
    for (const auto &[customer, history] : m_histories) {
        if (exists(history) && !history.checkpoint) {
            return std::nullopt;
        }
        if (exists(history)) {
            asOf = std::min(asOf, history.checkpoint->offset);
        }
    }
    return asOf;
}

std::size_t VersionTable::contracts() const
{
    return static_cast<std::size_t>(std::count_if(m_histories.begin(), m_histories.end(), [](const auto &item) {
        return item.second.policy() != nullptr;
    }));
}

std::vector<std::uint64_t> VersionTable::bucketHashes() const
{
    std::vector<std::uint64_t> hashes(digestBuckets, 0);
    for (const auto &[customer, history] : m_histories) {
        if (exists(history)) {
            hashes[bucketOf(customer)] += entryHash(customer, history);
        }
    }
    return hashes;
}

std::uint64_t VersionTable::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[customer, history] : m_histories) {
        digest += exists(history) ? entryHash(customer, history) : 0;
    }
    return digest;
}

std::optional<Summary> VersionTable::summaryOf(TimePoint now, const CustomerId &customer) const
{
    const auto state = stateOf(customer);
    if (!state) {
        return std::nullopt;
    }
    Summary summary{customer, state->version, state->asOf, std::nullopt, Duration{}};
    if (const auto checkpoint = checkpointOf(customer)) {
        summary.checkpoint = checkpoint->offset;
        summary.checkpointAge = std::chrono::duration_cast<Duration>(now - checkpoint->time);
    }
    return summary;
}

const std::optional<Checkpoint> &VersionTable::cycleEnd() const
{
    return m_cycleEnd;
}

std::size_t VersionTable::bucketOf(const CustomerId &customer)
{
    return static_cast<std::size_t>(stableHash(customer.value) % digestBuckets);
}

} // namespace jackdawdoor::configuration
