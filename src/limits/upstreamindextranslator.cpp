#include "limits/upstreamindextranslator.h"

#include <algorithm>

namespace jackdawdoor::limits {

namespace {

/** Versions that are remembered. A change spreads within 15 s, and changes of one contract are seldom that close. */
constexpr std::size_t mostLayouts = 4;

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
    Layout layout{version, {}};
    for (const auto &upstream : policy.upstreams) {
        layout.upstreams.push_back(upstream.id);
    }
    m_layouts.push_front(std::move(layout));
    if (m_layouts.size() > mostLayouts) {
        m_layouts.pop_back();
    }
}

std::uint64_t UpstreamIndexTranslator::currentVersion() const
{
    return m_layouts.front().version;
}

bool UpstreamIndexTranslator::knows(std::uint64_t version) const
{
    return find(version) != nullptr;
}

std::optional<std::size_t> UpstreamIndexTranslator::toCurrent(std::uint64_t version, std::size_t index) const
{
    const auto *layout = find(version);
    if (layout == nullptr || index >= layout->upstreams.size()) {
        return std::nullopt;
    }
    if (version == currentVersion()) {
        return index;
    }
    return positionOf(m_layouts.front().upstreams, layout->upstreams[index]);
}

std::optional<std::size_t> UpstreamIndexTranslator::fromCurrent(std::uint64_t version, std::size_t index) const
{
    const auto *layout = find(version);
    if (layout == nullptr || index >= m_layouts.front().upstreams.size()) {
        return std::nullopt;
    }
    if (version == currentVersion()) {
        return index;
    }
    return positionOf(layout->upstreams, m_layouts.front().upstreams[index]);
}

const UpstreamIndexTranslator::Layout *UpstreamIndexTranslator::find(std::uint64_t version) const
{
    const auto found = std::find_if(m_layouts.begin(), m_layouts.end(), [version](const Layout &layout) {
        return layout.version == version;
    });
    return found == m_layouts.end() ? nullptr : &*found;
}

} // namespace jackdawdoor::limits
