/** Account of the memory that callers and upstreams can make a process hold: bodies, buffered answers and unread input.
 *
 * Used on one thread. Taking and giving back is an addition, so a small request does not notice it.
 */
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <utility>

namespace jackdawdoor::limits {

/** What the memory is used for. */
enum class MemoryKind {
    RequestBody,
    Answer, ///< buffered, or waiting for a slow caller
    Input, ///< received and not yet parsed, and heads of requests
};

constexpr std::size_t memoryKinds = 3;

/** Name for metrics and log lines, such as "request-body". */
const char *memoryKindName(MemoryKind kind);

/** Who asks for memory; each may use the memory of those before it as well as a reserve of its own. */
enum class MemoryUser {
    LargeRequest,
    SmallRequest, ///< the body has at most smallRequestBytes so far
    Answer, ///< the request runs at an upstream
};

/** Bodies up to this size use the reserve for small requests. Usual uploads have 60 KB. */
constexpr std::size_t smallRequestBytes = std::size_t{64} * 1024;

/** Bytes that the account may hold. */
struct MemoryLimits {
    std::size_t total = std::size_t{192} * 1024 * 1024;
    std::size_t smallReserve = std::size_t{24} * 1024 * 1024; ///< not available to large requests

    bool operator==(const MemoryLimits &) const = default;
};

/** Limits for a process on a machine with that memory, less what the process needs for itself. Zero: the default. */
MemoryLimits memoryLimitsFor(std::size_t machineBytes);

/** Sum of the memory in use, by kind. */
class MemoryAccount
{
public:
    explicit MemoryAccount(MemoryLimits limits = {});

    /** True if that many more bytes may be taken now. */
    bool available(std::size_t bytes, MemoryUser user) const;

    /** Bytes that exceed what large requests may use; zero while there is no shortage. */
    std::size_t shortage() const;

    void take(MemoryKind kind, std::size_t bytes);
    void giveBack(MemoryKind kind, std::size_t bytes);

    /** Changes the limits; what is in use stays. */
    void setLimits(MemoryLimits limits);

    std::size_t used() const;
    std::size_t used(MemoryKind kind) const;
    const MemoryLimits &limits() const;

private:
    MemoryLimits m_limits;
    std::size_t m_used = 0;
    std::array<std::size_t, memoryKinds> m_usedByKind{};
};

/** Memory taken from an account, given back on destruction. The account lives at least as long. */
class MemoryReservation
{
public:
    MemoryReservation() = default;

    /** Takes the bytes, also beyond the limit: the caller has asked available() before, or can't wait. account may be null. */
    MemoryReservation(std::shared_ptr<MemoryAccount> account, MemoryKind kind, std::size_t bytes);
    ~MemoryReservation();
    MemoryReservation(MemoryReservation &&other) noexcept;
    MemoryReservation &operator=(MemoryReservation &&other) noexcept;

    /** Takes more or gives back the difference. */
    void resize(std::size_t bytes);

    std::size_t bytes() const;

private:
    std::shared_ptr<MemoryAccount> m_account;
    MemoryKind m_kind = MemoryKind::RequestBody;
    std::size_t m_bytes = 0;
};

} // namespace jackdawdoor::limits
