#include "net/fleetauthentication.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>

namespace jackdawdoor::net {

namespace {

constexpr std::size_t nonceBytes = 32;

/** Appends the text with a length prefix, so that different lists of texts never have the same encoding. */
void appendField(std::string &bytes, std::string_view text)
{
    bytes += std::to_string(text.size());
    bytes += ':';
    bytes += text;
}

void appendInstance(std::string &bytes, const InstanceRef &instance)
{
    appendField(bytes, instance.id.value);
    appendField(bytes, std::to_string(instance.incarnation));
}

} // namespace

std::string hmacSha256(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest.data(),
         &length);
    return {reinterpret_cast<const char *>(digest.data()), length};
}

bool equalSecrets(std::string_view first, std::string_view second)
{
    return first.size() == second.size() && CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::string randomNonce()
{
    std::array<unsigned char, nonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        // A predictable nonce would allow a replay of an old proof.
        std::abort();
    }
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string handshakeProof(std::string_view key, PeerRole role, const Handshake &handshake)
{
    std::string text;
    appendField(text, "jackdawdoor peer handshake 1");
    appendField(text, role == PeerRole::Opener ? "opener" : "listener");
    appendInstance(text, handshake.opener);
    appendInstance(text, handshake.listener);
    appendField(text, handshake.openerNonce);
    appendField(text, handshake.listenerNonce);
    return hmacSha256(key, text);
}

} // namespace jackdawdoor::net
