/** Proof that an instance knows the fleet key. */
#pragma once

#include "base/ids.h"

#include <string>
#include <string_view>

namespace jackdawdoor::net {

/** HMAC-SHA256 of the text, 32 bytes. Also the authenticator of tickets. */
std::string hmacSha256(std::string_view key, std::string_view text);

/** Comparison that takes the same time wherever the texts differ. */
bool equalSecrets(std::string_view first, std::string_view second);

/** 32 unpredictable bytes. */
std::string randomNonce();

/** Side of a connection; part of the proof, so that one side's proof cannot be sent back as the other's. */
enum class PeerRole {
    Opener,
    Listener,
};

/** What both sides know of a connection after its greeting. */
struct Handshake {
    InstanceRef opener;
    InstanceRef listener;
    std::string openerNonce;
    std::string listenerNonce;

    bool operator==(const Handshake &) const = default;
};

/** Proof by one side, over its role, both nonces and both instances. */
std::string handshakeProof(std::string_view key, PeerRole role, const Handshake &handshake);

} // namespace jackdawdoor::net
