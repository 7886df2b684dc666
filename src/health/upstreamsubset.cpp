#include "health/upstreamsubset.h"

#include "base/stablehash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jackdawdoor::health {

namespace {

/** Target rate per chosen upstream: the first request after a fault begins comes within 0.2 s. */
constexpr double requestsPerUpstreamPerSecond = 5;
/** With fewer upstreams, a single gray one would distort their median. */
constexpr std::size_t minimumSize = 4;
constexpr double averagingSeconds = 5;
/** Hysteresis: the subset keeps its size while the wanted size deviates by at most this fraction. Random arrivals change the
 * rate by some tenths, and an upstream that leaves the subset for a moment is not observed meanwhile. */
constexpr double sizeTolerance = 0.4;

} // namespace

UpstreamSubset::UpstreamSubset(const contract::ServicePolicy &policy, const InstanceId &self)
    : m_order(policy.upstreams.size())
    , m_size(minimumSize)
    , m_chosen(policy.upstreams.size(), true)
{
    std::iota(m_order.begin(), m_order.end(), 0);
    std::sort(m_order.begin(), m_order.end(), [&policy, &self](std::size_t left, std::size_t right) {
        return rendezvousWeight(self.value, policy.upstreams[left].id.value)
               > rendezvousWeight(self.value, policy.upstreams[right].id.value);
    });
}

void UpstreamSubset::onRequest(TimePoint now)
{
    m_rate = requestsPerSecond(now) + 1 / averagingSeconds;
    m_updated = now;
}

void UpstreamSubset::update(TimePoint now, const std::vector<bool> &usable)
{
    const double wantedSize = std::max(requestsPerSecond(now) / requestsPerUpstreamPerSecond, static_cast<double>(minimumSize));
    const auto currentSize = static_cast<double>(m_size);
    if (std::abs(wantedSize - currentSize) > sizeTolerance * currentSize) {
        m_size = static_cast<std::size_t>(std::ceil(wantedSize));
    }
    std::size_t chosen = 0;
    for (const auto index : m_order) {
        m_chosen[index] = usable[index] && chosen < m_size;
        chosen += m_chosen[index] ? 1 : 0;
    }
}

bool UpstreamSubset::contains(std::size_t upstream) const
{
    return m_chosen[upstream];
}

double UpstreamSubset::requestsPerSecond(TimePoint now) const
{
    return m_rate * std::exp(-toSeconds(now - m_updated) / averagingSeconds);
}

} // namespace jackdawdoor::health
