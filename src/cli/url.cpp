#include "cli/url.h"

namespace jackdawdoor::cli {

std::string encodeQueryValue(const std::string &value)
{
    constexpr const char *digits = "0123456789ABCDEF";
    std::string text;
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        const bool unreserved = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z') || byte == '-'
                                || byte == '.' || byte == '_' || byte == '~';
        if (unreserved) {
            text.push_back(character);
        } else {
            text += {'%', digits[byte / 16], digits[byte % 16]};
        }
    }
    return text;
}

} // namespace jackdawdoor::cli
