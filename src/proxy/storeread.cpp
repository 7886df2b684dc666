#include "proxy/storeread.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** Delay after the first failure; it doubles up to maximumDoublings times. Refused calls count as calls, too. */
constexpr Duration initialRetryDelay = std::chrono::milliseconds{500};
constexpr int maximumDoublings = 1;

} // namespace

bool StoreRead::due(TimePoint now) const
{
    return !m_pending && now >= m_retryAt;
}

StoreRead::Number StoreRead::begin(TimePoint now)
{
    m_pending = true;
    m_begunAt = now;
    return ++m_latest;
}

TimePoint StoreRead::begunAt() const
{
    return m_begunAt;
}

bool StoreRead::end(Number read)
{
    return read == m_latest && std::exchange(m_pending, false);
}

bool StoreRead::succeed(Number read)
{
    if (!end(read)) {
        return false;
    }
    m_failures = 0;
    m_retryAt = {};
    return true;
}

bool StoreRead::fail(TimePoint now, Number read)
{
    if (!end(read)) {
        return false;
    }
    m_retryAt = now + initialRetryDelay * (1 << std::min(m_failures, maximumDoublings));
    ++m_failures;
    return true;
}

void StoreRead::abandon()
{
    m_pending = false;
    m_retryAt = {};
}

} // namespace jackdawdoor::proxy
