/** Bodies in blocks: content, memory in the account, release. */
#include "proxy/body.h"

#include "base/blockhash.h"
#include "base/stablehash.h"
#include "fleet/requestfingerprint.h"

#include <doctest/doctest.h>

#include <event2/buffer.h>

#include <memory>
#include <string>

using namespace jackdawdoor;

namespace {

std::string pattern(std::size_t length)
{
    std::string bytes(length, '\0');
    for (std::size_t index = 0; index < length; ++index) {
        bytes[index] = static_cast<char>('a' + index * 7 % 23);
    }
    return bytes;
}

std::string joined(const proxy::Body &body)
{
    std::string bytes;
    for (const std::string_view block : body.blocks()) {
        bytes += block;
    }
    return bytes;
}

} // namespace

// Guards against lost or reordered bytes at the edges of blocks, and against an account that keeps memory of ended requests.
TEST_CASE("a body returns its bytes and its memory, whatever the pieces in which it arrives")
{
    for (const std::size_t length : {std::size_t{1}, std::size_t{4096}, std::size_t{4097}, std::size_t{70000}, std::size_t{1000001}}) {
        for (const std::size_t piece : {std::size_t{1000}, std::size_t{16384}, std::size_t{400000}}) {
            for (const bool announced : {false, true}) {
                const auto account = std::make_shared<limits::MemoryAccount>();
                const std::string bytes = pattern(length);
                {
                    proxy::Body body(account, limits::MemoryKind::RequestBody);
                    body.expect(announced ? length : 0);
                    for (std::size_t at = 0; at < length; at += piece) {
                        const std::string_view part = std::string_view(bytes).substr(at, piece);
                        const std::size_t before = body.capacity();
                        const std::size_t growth = body.growth(part.size());
                        body.append(part);
                        CHECK_MESSAGE(body.capacity() == before + growth, "the announced growth is wrong");
                    }
                    CHECK_MESSAGE(joined(body) == bytes, "the bytes changed at length " << length << ", pieces of " << piece);
                    CHECK_MESSAGE(account->used() == body.capacity(), "the account does not hold what the body took");
                    if (announced) {
                        CHECK_MESSAGE(body.capacity() == length, "an announced body took more than its length");
                    }
                }
                CHECK_MESSAGE(account->used() == 0, "a released body left memory in the account");
            }
        }
    }
}

// Guards against memory that is released while a connection still sends it, and against memory that stays after that.
TEST_CASE("a buffer keeps the blocks that it sends, and only these")
{
    const auto account = std::make_shared<limits::MemoryAccount>();
    const std::string bytes = pattern(600000);
    evbuffer *output = evbuffer_new();
    {
        proxy::Body body(account, limits::MemoryKind::RequestBody);
        body.append(bytes);
        body.writeTo(output);
        CHECK_MESSAGE(account->used() == body.capacity(), "sending a body took memory for a second copy");
    }
    REQUIRE_MESSAGE(account->used() >= bytes.size(), "the blocks were released while the buffer still sends them");
    std::string sent(bytes.size(), '\0');
    REQUIRE(evbuffer_remove(output, sent.data(), sent.size()) == static_cast<int>(sent.size()));
    CHECK_MESSAGE(sent == bytes, "the buffer sent other bytes");
    CHECK_MESSAGE(account->used() == 0, "sent blocks were not released");
    evbuffer_free(output);
}

// Guards against instances of two versions that know the same request by different fingerprints.
TEST_CASE("a fingerprint does not depend on the blocks of the body")
{
    const std::string bytes = pattern(500000);
    for (const std::size_t cut : {std::size_t{0}, std::size_t{1}, std::size_t{255}, std::size_t{262144}}) {
        const std::string_view whole = bytes;
        CHECK_MESSAGE(fleet::fingerprintOf("h", "POST", "/a?b", std::vector{whole.substr(0, cut), whole.substr(cut)})
                          == fleet::fingerprintOf("h", "POST", "/a?b", bytes),
                      "another fingerprint with a cut at " << cut);
    }
    CHECK(fleet::fingerprintOf("h", "GET", "/a", std::vector<std::string_view>{}) == fleet::fingerprintOf("h", "GET", "/a", ""));
}
