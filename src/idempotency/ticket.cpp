#include "idempotency/ticket.h"

#include "base/stablehash.h"
#include "idempotency/base64url.h"

#include <optional>

namespace jackdawdoor::idempotency {

namespace {

/** First byte of an encoded ticket; must change when the layout changes. */
constexpr char layoutVersion = 1;

void appendNumber(std::string &bytes, std::uint64_t value)
{
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes += static_cast<char>((value >> shift) & 255U);
    }
}

void appendText(std::string &bytes, std::string_view text)
{
    bytes += static_cast<char>(text.size());
    bytes += text;
}

void appendInstance(std::string &bytes, const InstanceRef &instance)
{
    appendText(bytes, instance.id.value);
    appendNumber(bytes, instance.incarnation);
}

/** All fields except the authenticator. */
std::string signedBytes(const Ticket &ticket)
{
    std::string bytes(1, layoutVersion);
    bytes.reserve(256); // enough for most tickets, so that encoding allocates once
    appendInstance(bytes, ticket.home);
    appendInstance(bytes, ticket.witness);
    appendText(bytes, ticket.service.value);
    appendNumber(bytes, ticket.issuer);
    appendNumber(bytes, ticket.issueTime);
    appendNumber(bytes, static_cast<std::uint64_t>(ticket.lifetime.count()));
    return bytes;
}

/** Reads fields in sequence; after a failure all further reads fail. */
class Reader
{
public:
    explicit Reader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    std::uint64_t number()
    {
        std::uint64_t value = 0;
        for (const char byte : take(8)) {
            value = (value << 8U) | static_cast<unsigned char>(byte);
        }
        return value;
    }

    std::string text(std::size_t maximum)
    {
        const std::string_view length = take(1);
        const std::size_t size = length.empty() ? 0 : static_cast<unsigned char>(length.front());
        m_failed = m_failed || size == 0 || size > maximum;
        return std::string(take(size));
    }

    InstanceRef instance()
    {
        InstanceRef instance;
        instance.id.value = text(maximumTicketIdBytes);
        instance.incarnation = number();
        return instance;
    }

    bool version()
    {
        const std::string_view byte = take(1);
        return !byte.empty() && byte.front() == layoutVersion;
    }

    bool finished() const
    {
        return !m_failed && m_bytes.empty();
    }

private:
    std::string_view take(std::size_t count)
    {
        if (m_failed || count > m_bytes.size()) {
            m_failed = true;
            return {};
        }
        const std::string_view taken = m_bytes.substr(0, count);
        m_bytes.remove_prefix(count);
        return taken;
    }

    std::string_view m_bytes;
    bool m_failed = false;
};

/** Longest ticket text: three texts, five numbers, the authenticator and their lengths, in base64. */
constexpr std::size_t maximumTicketText =
    (1 + 3 * (1 + maximumTicketIdBytes) + 5 * sizeof(std::uint64_t) + 1 + maximumAuthenticatorBytes) * 4 / 3 + 1;

Error ticketError(const char *reason)
{
    return Error{"decode ticket", "caller or peer", reason};
}

bool inRange(const Ticket &ticket, std::uint64_t lifetime)
{
    return ticket.issueTime < maximumIssueTime && lifetime > 0 && lifetime <= static_cast<std::uint64_t>(maximumTicketLifetime.count());
}

} // namespace

std::string Ticket::encode() const
{
    std::string bytes = signedBytes(*this);
    appendText(bytes, authenticator);
    return detail::encodeBase64Url(bytes);
}

Result<Ticket> Ticket::decode(std::string_view text)
{
    if (text.size() > maximumTicketText) {
        return ticketError("too long");
    }
    const std::optional<std::string> bytes = detail::decodeBase64Url(text);
    if (!bytes) {
        return ticketError("not base64url");
    }
    Reader reader(*bytes);
    if (!reader.version()) {
        return ticketError("unknown layout version");
    }
    Ticket ticket;
    ticket.home = reader.instance();
    ticket.witness = reader.instance();
    ticket.service.value = reader.text(maximumTicketIdBytes);
    ticket.issuer = reader.number();
    ticket.issueTime = reader.number();
    const std::uint64_t lifetime = reader.number();
    ticket.authenticator = reader.text(maximumAuthenticatorBytes);
    if (!reader.finished()) {
        return ticketError("wrong length of a field");
    }
    if (!inRange(ticket, lifetime)) {
        return ticketError("issue time or lifetime out of range");
    }
    ticket.lifetime = Duration{static_cast<Duration::rep>(lifetime)};
    return ticket;
}

bool Ticket::authentic(const TicketAuthenticator &authenticate) const
{
    const std::string expected = authenticate(signedBytes(*this)).substr(0, maximumAuthenticatorBytes);
    if (expected.empty() || expected.size() != authenticator.size()) {
        return false;
    }
    // Compares all bytes, so that the time taken does not reveal how many of them match.
    unsigned difference = 0;
    for (std::size_t index = 0; index < expected.size(); ++index) {
        difference |= static_cast<unsigned char>(expected[index]) ^ static_cast<unsigned char>(authenticator[index]);
    }
    return difference == 0;
}

void Ticket::sign(const TicketAuthenticator &authenticate)
{
    authenticator = authenticate(signedBytes(*this)).substr(0, maximumAuthenticatorBytes);
}

std::uint64_t issuerNumber(const InstanceRef &issuer)
{
    return stableHash(issuer.id.value, issuer.incarnation);
}

} // namespace jackdawdoor::idempotency
