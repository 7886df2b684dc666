#include "limits/upstreamindextranslator.h"

#include <algorithm>

namespace jackdawdoor::limits {

namespace {

/** Versions kept. A change propagates within 15 s, and several changes of one contract within that time are rare. */
constexpr std::size_t maximumVersions = 4;

std::optional<std::size_t> positionOf(const std::vector<UpstreamId> &upstreams, const UpstreamId &upstream)
{
    const auto found = std::find(upstreams.begin(), upstreams.end(), upstream);
    if (found == upstreams.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - upstreams.begin());
}

} // namespace

UpstreamIndexTranslator::UpstreamIndexTranslator(const contract::ServicePolicy &policy, std::uint64_t version)
{
    adopt(policy, version);
}

void UpstreamIndexTranslator::adopt(const contract::ServicePolicy &policy, std::uint64_t version)
{
    Version entry{version, {}};
    for (const auto &upstream : policy.upstreams) {
        entry.upstreams.push_back(upstream.id);
    }
    m_versions.push_front(std::move(entry));
    if (m_versions.size() > maximumVersions) {
        m_versions.pop_back();
    }
}

std::uint64_t UpstreamIndexTranslator::currentVersion() const
{
    return m_versions.front().version;
}

bool UpstreamIndexTranslator::knows(std::uint64_t version) const
{
    return find(version) != nullptr;
}

std::optional<std::size_t> UpstreamIndexTranslator::toCurrent(std::uint64_t version, std::size_t index) const
{
    const auto *entry = find(version);
    if (entry == nullptr || index >= entry->upstreams.size()) {
        return std::nullopt;
    }
    if (version == currentVersion()) {
        return index;
    }
    return positionOf(m_versions.front().upstreams, entry->upstreams[index]);
}

std::optional<std::size_t> UpstreamIndexTranslator::fromCurrent(std::uint64_t version, std::size_t index) const
{
    const auto *entry = find(version);
    if (entry == nullptr || index >= m_versions.front().upstreams.size()) {
        return std::nullopt;
    }
    if (version == currentVersion()) {
        return index;
    }
    return positionOf(entry->upstreams, m_versions.front().upstreams[index]);
}

const UpstreamIndexTranslator::Version *UpstreamIndexTranslator::find(std::uint64_t version) const
{
    const auto found = std::find_if(m_versions.begin(), m_versions.end(), [version](const Version &entry) {
        return entry.version == version;
    });
    return found == m_versions.end() ? nullptr : &*found;
}

} // namespace jackdawdoor::limits
