#include "idempotency/closedkeyfilter.h"

#include "base/stablehash.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

namespace {

constexpr std::size_t wordBits = 64;
/** Four probes give a false-positive rate of about 1 % at ten bits per key. */
constexpr std::uint64_t probes = 4;
constexpr std::uint64_t secondSeed = 0x9e3779b97f4a7c15;
/** Minimum age of a generation before rotation, so that a burst of short-lived keys does not rotate constantly. */
constexpr Duration minimumGenerationAge = std::chrono::seconds{10};

std::size_t probeIndex(std::uint64_t first, std::uint64_t second, std::uint64_t probe, std::size_t bits)
{
    return (first + probe * second) % bits;
}

} // namespace

ClosedKeyFilter::ClosedKeyFilter(std::size_t bits)
    : m_bits(std::max<std::size_t>((bits + wordBits - 1) / wordBits, 1) * wordBits)
{
}

bool ClosedKeyFilter::Generation::contains(std::uint64_t first, std::uint64_t second, std::size_t bits) const
{
    if (words.empty()) {
        return false;
    }
    for (std::uint64_t probe = 0; probe < probes; ++probe) {
        const std::size_t index = probeIndex(first, second, probe, bits);
        if ((words[index / wordBits] >> (index % wordBits) & 1U) == 0) {
            return false;
        }
    }
    return true;
}

void ClosedKeyFilter::add(TimePoint now, std::string_view key, TimePoint keepUntil)
{
    expire(now);
    const bool rotate = !m_current.words.empty() && m_previous.words.empty() && now >= m_current.start + minimumGenerationAge;
    if (rotate) {
        m_previous = std::move(m_current);
        m_current = Generation{};
    }
    if (m_current.words.empty()) {
        m_current.words.assign(m_bits / wordBits, 0);
        m_current.start = now;
        m_current.keepUntil = keepUntil;
    }
    const std::uint64_t first = stableHash(key);
    const std::uint64_t second = stableHash(key, secondSeed) | 1U;
    for (std::uint64_t probe = 0; probe < probes; ++probe) {
        const std::size_t index = probeIndex(first, second, probe, m_bits);
        m_current.words[index / wordBits] |= std::uint64_t{1} << (index % wordBits);
    }
    m_current.keepUntil = std::max(m_current.keepUntil, keepUntil);
}

bool ClosedKeyFilter::contains(std::string_view key) const
{
    if (m_current.words.empty() && m_previous.words.empty()) {
        return false;
    }
    const std::uint64_t first = stableHash(key);
    const std::uint64_t second = stableHash(key, secondSeed) | 1U;
    return m_current.contains(first, second, m_bits) || m_previous.contains(first, second, m_bits);
}

void ClosedKeyFilter::expire(TimePoint now)
{
    for (Generation *generation : {&m_current, &m_previous}) {
        if (!generation->words.empty() && now > generation->keepUntil) {
            *generation = Generation{};
        }
    }
}

} // namespace jackdawdoor::idempotency
