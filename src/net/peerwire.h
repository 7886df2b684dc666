/** Encoding of the streams between two instances as positional CBOR arrays.
 *
 * Paths: /hello and /proof are the handshake; /message carries one control message of the core; /forward carries a
 * caller's request, answered by a length-prefixed head and the body. Decoding malformed bytes returns std::nullopt.
 */
#pragma once

#include "base/ids.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawdoor::net {

/** Size limits on what an instance accepts from another, in bytes. */
struct PeerLimits {
    std::size_t handshakeBytes = 1024; ///< before the peer is authenticated
    std::size_t messageBytes = std::size_t{1024} * 1024;
    std::size_t requestBytes = std::size_t{33} * 1024 * 1024; ///< a caller's largest request and its head
    std::size_t answerHeadBytes = std::size_t{64} * 1024;

    bool operator==(const PeerLimits &) const = default;
};

/** First handshake message of either side. The listener's contains its proof; the opener sends its proof separately. */
struct Greeting {
    InstanceRef instance;
    std::string nonce;
    std::string proof; ///< empty from the opener

    bool operator==(const Greeting &) const = default;
};

std::string encodeGreeting(const Greeting &greeting);
std::optional<Greeting> decodeGreeting(std::string_view bytes);

std::string encodeRequest(const RequestContent &request);
std::optional<RequestContent> decodeRequest(std::string_view bytes);

/** The head with a length prefix. */
std::string encodeAnswerStart(const AnswerStart &start);

/** Incremental decoder of an answer's head. */
class AnswerStartReader
{
public:
    enum class State {
        Reading,
        Complete,
        Malformed,
    };

    explicit AnswerStartReader(std::size_t maximumBytes);

    /** Adds bytes; after Complete, start() and rest() are set. */
    State read(std::string_view bytes);

    const AnswerStart &start() const;

    /** Bytes of the body that were received together with the head. */
    const std::string &rest() const;

private:
    std::size_t m_maximumBytes;
    std::string m_bytes;
    AnswerStart m_start;
};

} // namespace jackdawdoor::net
