#include "idempotency/idempotencykey.h"

#include "idempotency/base64url.h"

#include <algorithm>

namespace jackdawdoor::idempotency {

namespace {

constexpr char separator = '.';

Error keyError(const char *reason)
{
    return Error{"decode idempotency key", "caller or peer", reason};
}

bool validNonce(std::string_view nonce)
{
    return !nonce.empty() && nonce.size() <= maximumNonceBytes && std::all_of(nonce.begin(), nonce.end(), detail::isBase64Url);
}

} // namespace

std::string IdempotencyKey::encode() const
{
    return ticket.encode() + separator + nonce;
}

Result<IdempotencyKey> IdempotencyKey::decode(std::string_view text)
{
    const std::size_t end = text.find(separator);
    if (end == std::string_view::npos) {
        return keyError("no nonce after the ticket");
    }
    const std::string_view nonce = text.substr(end + 1);
    if (!validNonce(nonce)) {
        return keyError("the nonce is empty, too long or has other characters than A-Z a-z 0-9 - _");
    }
    Result<Ticket> ticket = Ticket::decode(text.substr(0, end));
    if (!ticket) {
        return ticket.error();
    }
    return IdempotencyKey{std::move(ticket).value(), std::string(nonce)};
}

Result<IdempotencyKey> IdempotencyKey::decodeFromCaller(std::string_view text, const TicketAuthenticator &authenticate)
{
    Result<IdempotencyKey> key = decode(text);
    if (key && !key.value().ticket.authentic(authenticate)) {
        return keyError("the ticket was not issued by this fleet");
    }
    return key;
}

} // namespace jackdawdoor::idempotency
