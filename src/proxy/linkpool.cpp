#include "proxy/linkpool.h"

#include <algorithm>

namespace jackdawdoor::proxy {

namespace {

/** Idle connections kept to one upstream by one instance; 48 instances stay far below what an upstream accepts. */
constexpr std::size_t maximumIdle = 4;

} // namespace

LinkPool::LinkPool(net::EventLoop &loop, std::string requestIdHeader)
    : m_loop(loop)
    , m_requestIdHeader(std::move(requestIdHeader))
{
}

LinkPool::Key LinkPool::keyOf(const fleet::UpstreamEntry &upstream)
{
    return {upstream.id, upstream.incarnation};
}

std::unique_ptr<UpstreamLink> LinkPool::take(TimePoint now, const fleet::UpstreamEntry &upstream, Duration maximumAge, bool &fresh)
{
    auto &idle = m_idle[keyOf(upstream)];
    fresh = false;
    while (!idle.empty()) {
        std::unique_ptr<UpstreamLink> link = std::move(idle.back());
        const Duration age = now - link->lastAnswer();
        if (link->reusable() && age <= maximumAge && age <= link->idleLimit()) {
            idle.pop_back();
            return link;
        }
        if (link->reusable() && age <= link->idleLimit()) {
            // Too long idle for this request; the most recent comes first, so the others are older.
            idle.back() = std::move(link);
            break;
        }
        idle.pop_back();
    }
    fresh = true;
    ++m_opened;
    // The address was checked when the entry was decoded.
    return std::make_unique<UpstreamLink>(m_loop, settings::parseEndpoint(upstream.address).value(), m_requestIdHeader);
}

void LinkPool::put(const fleet::UpstreamEntry &upstream, std::unique_ptr<UpstreamLink> link)
{
    auto &idle = m_idle[keyOf(upstream)];
    if (!link->reusable() || idle.size() >= maximumIdle) {
        return;
    }
    link->setIdleHook([this, key = keyOf(upstream), raw = link.get()] {
        auto &links = m_idle[key];
        std::erase_if(links, [raw](const auto &other) {
            return other.get() == raw;
        });
    });
    idle.push_back(std::move(link));
}

void LinkPool::prune(TimePoint now, const std::vector<fleet::UpstreamEntry> &present)
{
    std::set<Key> known;
    for (const fleet::UpstreamEntry &upstream : present) {
        known.insert(keyOf(upstream));
    }
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](const auto &link) {
            return !link->reusable() || now - link->lastAnswer() > link->idleLimit();
        });
        entry = entry->second.empty() || !known.contains(entry->first) ? m_idle.erase(entry) : std::next(entry);
    }
}

void LinkPool::drop(const fleet::UpstreamEntry &upstream)
{
    m_idle.erase(keyOf(upstream));
}

std::uint64_t LinkPool::opened() const
{
    return m_opened;
}

} // namespace jackdawdoor::proxy
