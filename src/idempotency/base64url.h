/** Canonical base64url (RFC 4648 section 5) without padding. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jackdawdoor::idempotency::detail {

/** Whether the character belongs to the base64url alphabet. */
bool isBase64Url(char character);

std::string encodeBase64Url(std::string_view bytes);

/** Returns nullopt for a character outside the alphabet, an impossible length, or trailing bits that are not zero. */
std::optional<std::string> decodeBase64Url(std::string_view text);

} // namespace jackdawdoor::idempotency::detail
