#include "proxy/body.h"

#include <event2/buffer.h>

#include <sys/mman.h>

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace jackdawdoor::proxy {

namespace {

/** Small enough that the unused rest of the last block does not matter beside a large body. */
constexpr std::size_t maximumBlockBytes = std::size_t{256} * 1024;
/** First block of a body whose length is unknown; each further one is as large as the body so far. */
constexpr std::size_t minimumBlockBytes = std::size_t{4} * 1024;
/** First block of a body with a known length. Larger ones would let callers reserve much memory by announcing large bodies. */
constexpr std::size_t minimumAnnouncedBytes = std::size_t{16} * 1024;
/** Blocks of this size are mapped. Smaller ones are reused by the allocator, which is cheaper. */
constexpr std::size_t minimumMappedBytes = std::size_t{128} * 1024;
/** Bodies up to this size are copied into the buffer of a connection, behind the head. */
constexpr std::size_t maximumCopiedBytes = std::size_t{4} * 1024;

char *allocate(std::size_t bytes, bool mapped)
{
    if (!mapped) {
        return static_cast<char *>(::operator new(bytes));
    }
    void *memory = mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (memory == MAP_FAILED) {
        throw std::bad_alloc();
    }
    return static_cast<char *>(memory);
}

void releaseBlock(const void * /*data*/, std::size_t /*length*/, void *owner)
{
    delete static_cast<std::shared_ptr<detail::BodyBlock> *>(owner);
}

} // namespace

namespace detail {

BodyBlock::BodyBlock(std::size_t capacity, limits::MemoryReservation reservation)
    : m_capacity(capacity)
    , m_mapped(capacity >= minimumMappedBytes)
    , m_data(allocate(capacity, m_mapped))
    , m_reservation(std::move(reservation))
{
}

BodyBlock::~BodyBlock()
{
    if (m_mapped) {
        munmap(m_data, m_capacity);
    } else {
        ::operator delete(m_data);
    }
}

std::size_t BodyBlock::append(std::string_view bytes)
{
    const std::size_t count = std::min(bytes.size(), room());
    std::memcpy(m_data + m_size, bytes.data(), count);
    m_size += count;
    return count;
}

std::size_t BodyBlock::room() const
{
    return m_capacity - m_size;
}

std::string_view BodyBlock::bytes() const
{
    return {m_data, m_size};
}

} // namespace detail

Body::Body(std::shared_ptr<limits::MemoryAccount> account, limits::MemoryKind kind)
    : m_account(std::move(account))
    , m_kind(kind)
{
}

void Body::expect(std::size_t length)
{
    m_expected = length;
}

std::size_t Body::nextCapacity(std::size_t size, std::size_t bytes) const
{
    if (m_expected > size) {
        return std::min(m_expected - size, std::clamp(size, minimumAnnouncedBytes, maximumBlockBytes));
    }
    return std::clamp(std::max(size, bytes), minimumBlockBytes, maximumBlockBytes);
}

std::size_t Body::growth(std::size_t bytes) const
{
    const std::size_t room = m_blocks.empty() ? 0 : m_blocks.back()->room();
    std::size_t grown = 0;
    for (std::size_t covered = room; covered < bytes;) {
        const std::size_t next = nextCapacity(m_size + covered, bytes - covered);
        covered += next;
        grown += next;
    }
    return grown;
}

void Body::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (m_blocks.empty() || m_blocks.back()->room() == 0) {
            const std::size_t capacity = nextCapacity(m_size, bytes.size());
            m_blocks.push_back(std::make_shared<detail::BodyBlock>(capacity, limits::MemoryReservation(m_account, m_kind, capacity)));
            m_capacity += capacity;
        }
        const std::size_t count = m_blocks.back()->append(bytes);
        m_size += count;
        bytes.remove_prefix(count);
    }
}

std::size_t Body::size() const
{
    return m_size;
}

bool Body::empty() const
{
    return m_size == 0;
}

std::size_t Body::capacity() const
{
    return m_capacity;
}

std::vector<std::string_view> Body::blocks() const
{
    std::vector<std::string_view> views;
    views.reserve(m_blocks.size());
    for (const auto &block : m_blocks) {
        views.push_back(block->bytes());
    }
    return views;
}

void Body::writeTo(evbuffer *output) const
{
    for (const auto &block : m_blocks) {
        const std::string_view bytes = block->bytes();
        if (m_size <= maximumCopiedBytes) {
            evbuffer_add(output, bytes.data(), bytes.size());
            continue;
        }
        auto *owner = new std::shared_ptr<detail::BodyBlock>(block);
        if (evbuffer_add_reference(output, bytes.data(), bytes.size(), &releaseBlock, owner) != 0) {
            delete owner;
        }
    }
}

} // namespace jackdawdoor::proxy
