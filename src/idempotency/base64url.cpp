#include "idempotency/base64url.h"

#include <cstdint>

namespace jackdawdoor::idempotency::detail {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int bitsPerCharacter = 6;

int valueOf(char character)
{
    if (character >= 'A' && character <= 'Z') {
        return character - 'A';
    }
    if (character >= 'a' && character <= 'z') {
        return character - 'a' + 26;
    }
    if (character >= '0' && character <= '9') {
        return character - '0' + 52;
    }
    if (character == '-') {
        return 62;
    }
    return character == '_' ? 63 : -1;
}

} // namespace

bool isBase64Url(char character)
{
    return valueOf(character) >= 0;
}

std::string encodeBase64Url(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() * 4 + 2) / 3);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char byte : bytes) {
        buffer = (buffer << 8U) | static_cast<unsigned char>(byte);
        bits += 8;
        while (bits >= bitsPerCharacter) {
            bits -= bitsPerCharacter;
            text += alphabet[(buffer >> bits) & 63U];
        }
    }
    if (bits > 0) {
        text += alphabet[(buffer << (bitsPerCharacter - bits)) & 63U];
    }
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char character : text) {
        const int value = valueOf(character);
        if (value < 0) {
            return std::nullopt;
        }
        buffer = (buffer << bitsPerCharacter) | static_cast<std::uint32_t>(value);
        bits += bitsPerCharacter;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((buffer >> bits) & 255U);
        }
    }
    const std::uint32_t unusedBits = buffer & ((1U << bits) - 1U);
    if (bits >= bitsPerCharacter || unusedBits != 0) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace jackdawdoor::idempotency::detail
