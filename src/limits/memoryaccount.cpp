#include "limits/memoryaccount.h"

#include <algorithm>

namespace jackdawdoor::limits {

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
/** Memory of a process without requests: 25 MB with 400 upstreams, and room for the state of a large fleet. */
constexpr std::size_t minimumProcessReserve = 40 * mebibyte;
/** The allocator and the buffers of the kernel need memory that the account does not see, in proportion to the rest. */
constexpr std::size_t processReserveDivisor = 4;
/** On a machine with too little memory the account still serves small requests. */
constexpr std::size_t minimumTotal = 8 * mebibyte;
constexpr std::size_t smallReserveDivisor = 8;

} // namespace

const char *memoryKindName(MemoryKind kind)
{
    switch (kind) {
    case MemoryKind::RequestBody:
        return "request-body";
    case MemoryKind::Answer:
        return "answer";
    case MemoryKind::Input:
        return "input";
    }
    return "";
}

MemoryLimits memoryLimitsFor(std::size_t machineBytes)
{
    if (machineBytes == 0) {
        return {};
    }
    const std::size_t reserve = std::max(minimumProcessReserve, machineBytes / processReserveDivisor);
    const std::size_t total = machineBytes > reserve + minimumTotal ? machineBytes - reserve : minimumTotal;
    return {total, total / smallReserveDivisor};
}

MemoryAccount::MemoryAccount(MemoryLimits limits)
    : m_limits(limits)
{
}

bool MemoryAccount::available(std::size_t bytes, MemoryUser user) const
{
    std::size_t limit = m_limits.total;
    if (user == MemoryUser::LargeRequest) {
        limit -= std::min(limit, m_limits.smallReserve);
    } else if (user == MemoryUser::SmallRequest) {
        // Half of the reserve is kept for answers, so that small requests that are admitted can also be answered.
        limit -= std::min(limit, m_limits.smallReserve / 2);
    }
    return bytes <= limit && m_used <= limit - bytes;
}

std::size_t MemoryAccount::shortage() const
{
    const std::size_t limit = m_limits.total - std::min(m_limits.total, m_limits.smallReserve);
    return m_used > limit ? m_used - limit : 0;
}

void MemoryAccount::take(MemoryKind kind, std::size_t bytes)
{
    m_used += bytes;
    m_usedByKind.at(static_cast<std::size_t>(kind)) += bytes;
}

void MemoryAccount::giveBack(MemoryKind kind, std::size_t bytes)
{
    m_used -= bytes;
    m_usedByKind.at(static_cast<std::size_t>(kind)) -= bytes;
}

void MemoryAccount::setLimits(MemoryLimits limits)
{
    m_limits = limits;
}

std::size_t MemoryAccount::used() const
{
    return m_used;
}

std::size_t MemoryAccount::used(MemoryKind kind) const
{
    return m_usedByKind.at(static_cast<std::size_t>(kind));
}

const MemoryLimits &MemoryAccount::limits() const
{
    return m_limits;
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryAccount> account, MemoryKind kind, std::size_t bytes)
    : m_account(std::move(account))
    , m_kind(kind)
{
    resize(bytes);
}

MemoryReservation::~MemoryReservation()
{
    resize(0);
}

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : m_account(std::move(other.m_account))
    , m_kind(other.m_kind)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

MemoryReservation &MemoryReservation::operator=(MemoryReservation &&other) noexcept
{
    if (this != &other) {
        resize(0);
        m_account = std::move(other.m_account);
        m_kind = other.m_kind;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

void MemoryReservation::resize(std::size_t bytes)
{
    if (m_account && bytes > m_bytes) {
        m_account->take(m_kind, bytes - m_bytes);
    } else if (m_account && bytes < m_bytes) {
        m_account->giveBack(m_kind, m_bytes - bytes);
    }
    m_bytes = bytes;
}

std::size_t MemoryReservation::bytes() const
{
    return m_bytes;
}

} // namespace jackdawdoor::limits
