#include "contract/utf8.h"

#include <cstdint>

namespace jackdawdoor::contract {

namespace {

// Length of the sequence that the lead byte starts, or 0 when it starts none.
std::size_t sequenceLength(std::uint8_t lead)
{
    if (lead < 0x80) {
        return 1;
    }
    if (lead >= 0xc2 && lead < 0xe0) {
        return 2;
    }
    if (lead >= 0xe0 && lead < 0xf0) {
        return 3;
    }
    if (lead >= 0xf0 && lead < 0xf5) {
        return 4;
    }
    return 0;
}

// The second byte is restricted further for some lead bytes: overlong forms, surrogates and values above U+10FFFF.
bool secondByteAllowed(std::uint8_t lead, std::uint8_t second)
{
    switch (lead) {
    case 0xe0:
        return second >= 0xa0;
    case 0xed:
        return second < 0xa0;
    case 0xf0:
        return second >= 0x90;
    case 0xf4:
        return second < 0x90;
    default:
        return true;
    }
}

} // namespace

std::optional<std::size_t> firstInvalidUtf8(std::string_view text)
{
    std::size_t start = 0;
    while (start < text.size()) {
        const auto lead = static_cast<std::uint8_t>(text[start]);
        const std::size_t length = sequenceLength(lead);
        if (length == 0 || start + length > text.size()) {
            return start;
        }
        for (std::size_t offset = 1; offset < length; ++offset) {
            const auto byte = static_cast<std::uint8_t>(text[start + offset]);
            if ((byte & 0xc0) != 0x80 || (offset == 1 && !secondByteAllowed(lead, byte))) {
                return start;
            }
        }
        start += length;
    }
    return std::nullopt;
}

} // namespace jackdawdoor::contract
