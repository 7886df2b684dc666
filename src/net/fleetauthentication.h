/** Proof that an instance knows the fleet key. */
#pragma once

#include "base/ids.h"

#include <string>
#include <string_view>

namespace jackdawdoor::net {

/** HMAC-SHA256 of the text, 32 bytes. It also authenticates tickets. */
std::string hmacSha256(std::string_view key, std::string_view text);

/** Constant-time comparison. */
bool equalSecrets(std::string_view first, std::string_view second);

/** 32 cryptographically random bytes. */
std::string randomNonce();

/** Side of a connection; part of the proof, which prevents reflection of one side's proof as the other's. */
enum class PeerRole {
    Opener,
    Listener,
};

/** Values that both sides of a connection know after its greetings. */
struct Handshake {
    InstanceRef opener;
    InstanceRef listener;
    std::string openerNonce;
    std::string listenerNonce;

    bool operator==(const Handshake &) const = default;
};

/** HMAC of one side over its role, both nonces and both instances. */
std::string handshakeProof(std::string_view key, PeerRole role, const Handshake &handshake);

} // namespace jackdawdoor::net
