/** Body of a message, held once in blocks that connections send by reference. */
#pragma once

#include "limits/memoryaccount.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

struct evbuffer;

namespace jackdawdoor::proxy {

namespace detail {

/** Fixed memory; large blocks are mapped, so that their memory returns to the system when they are released. */
class BodyBlock
{
public:
    BodyBlock(std::size_t capacity, limits::MemoryReservation reservation);
    ~BodyBlock();
    BodyBlock(const BodyBlock &) = delete;
    BodyBlock &operator=(const BodyBlock &) = delete;

    /** Copies as many bytes as there is room for; returns their number. */
    std::size_t append(std::string_view bytes);

    std::size_t room() const;
    std::string_view bytes() const;

private:
    std::size_t m_capacity;
    bool m_mapped;
    char *m_data;
    std::size_t m_size = 0;
    limits::MemoryReservation m_reservation;
};

} // namespace detail

/** Body that only grows. Copies share the blocks, which are released with the last user, including buffers that send them. */
class Body
{
public:
    /** account: where its memory is taken; may be null. */
    Body(std::shared_ptr<limits::MemoryAccount> account, limits::MemoryKind kind);

    /** Body whose memory is not counted. */
    Body() = default;

    /** Announces the length, so that the blocks have no more room than needed. Takes no memory. */
    void expect(std::size_t length);

    void append(std::string_view bytes);

    /** Memory that appending that many bytes would take. */
    std::size_t growth(std::size_t bytes) const;

    std::size_t size() const;

    bool empty() const;

    /** Memory that the blocks take. */
    std::size_t capacity() const;

    std::vector<std::string_view> blocks() const;

    /** Adds the bytes to the end of a buffer: by reference, except for a small body, which is cheaper to copy. */
    void writeTo(evbuffer *output) const;

private:
    std::size_t nextCapacity(std::size_t size, std::size_t bytes) const;

    std::shared_ptr<limits::MemoryAccount> m_account;
    limits::MemoryKind m_kind = limits::MemoryKind::RequestBody;
    std::vector<std::shared_ptr<detail::BodyBlock>> m_blocks;
    std::size_t m_expected = 0;
    std::size_t m_size = 0;
    std::size_t m_capacity = 0;
};

} // namespace jackdawdoor::proxy
