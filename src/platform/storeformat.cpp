#include "platform/storeformat.h"

#include "contract/utf8.h"
#include "platform/names.h"
#include "telemetry/log.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace jackdawdoor::platform {

namespace {

/** Decodes a big-endian number. */
std::uint64_t numberAt(std::string_view bytes, std::size_t position, std::size_t size)
{
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < size; ++index) {
        value = value * 256 + static_cast<unsigned char>(bytes[position + index]);
    }
    return value;
}

/** Sizes in bytes of each of the two offsets before the records and of the length field of a record. */
constexpr std::size_t offsetSize = 8;
constexpr std::size_t lengthSize = 4;

/** Stands for a value that cannot be decoded; no document. */
constexpr const char *undecodableValue = "?";

/** Splits the content of a record into key and value; false if the key length exceeds the content. */
bool splitRecord(std::string_view content, KeyedRecord &record)
{
    if (content.empty()) {
        return false;
    }
    const std::size_t keySize = static_cast<unsigned char>(content.front());
    if (content.size() < 1 + keySize) {
        return false;
    }
    record.key = std::string(content.substr(1, keySize));
    record.value = std::string(content.substr(1 + keySize));
    return true;
}

/** Encodes each byte above 0x7f as the code point of its value, so that the text becomes valid UTF-8. */
std::string widenBytes(std::string_view bytes)
{
    std::string text;
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < 0x80) {
            text += character;
        } else {
            text += static_cast<char>(0xc0 | (byte >> 6));
            text += static_cast<char>(0x80 | (byte & 0x3f));
        }
    }
    return text;
}

/** Reverses widenBytes(). */
std::string narrowBytes(std::string_view text)
{
    std::string bytes;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto byte = static_cast<unsigned char>(text[index]);
        const bool widened = (byte == 0xc2 || byte == 0xc3) && index + 1 < text.size();
        if (widened) {
            ++index;
            bytes += static_cast<char>(((byte & 0x03) << 6) | (static_cast<unsigned char>(text[index]) & 0x3f));
        } else {
            bytes += text[index];
        }
    }
    return bytes;
}

/** Decodes an item of a page; nothing if it has no key. A value that cannot be decoded keeps the key, but names nothing. */
std::optional<KeyedRecord> decodeItem(const nlohmann::json &item)
{
    const auto key = item.find("key");
    if (key == item.end() || !key->is_string()) {
        return std::nullopt;
    }
    KeyedRecord record;
    record.key = key->get<std::string>();
    if (const auto offset = item.find("offset"); offset != item.end() && offset->is_number_unsigned()) {
        record.offset = offset->get<std::uint64_t>();
    }
    const auto value = item.find("value");
    const bool decoded = value != item.end() && value->is_string() && absl::Base64Unescape(value->get<std::string>(), &record.value);
    if (!decoded || record.value.empty()) {
        record.value = undecodableValue;
    }
    return record;
}

} // namespace

std::optional<LogRecords> decodeRecords(std::string_view bytes, const fleet::StorePosition &from)
{
    if (bytes.size() < 2 * offsetSize) {
        return std::nullopt;
    }
    LogRecords result;
    result.next = from;
    result.end = numberAt(bytes, 0, offsetSize);
    std::size_t position = 2 * offsetSize;
    while (position < bytes.size()) {
        if (bytes.size() - position < lengthSize) {
            return std::nullopt;
        }
        const std::uint64_t size = numberAt(bytes, position, lengthSize);
        position += lengthSize;
        if (bytes.size() - position < size) {
            return std::nullopt;
        }
        KeyedRecord record;
        record.offset = result.next.offset++;
        // A record without a valid key is skipped.
        if (splitRecord(bytes.substr(position, size), record)) {
            result.records.push_back(std::move(record));
        }
        position += size;
    }
    return result;
}

std::optional<NewestPage> decodeNewest(std::string_view text)
{
    using nlohmann::json;
    // Keys are arbitrary bytes, but a JSON parser accepts valid UTF-8 only.
    const bool raw = contract::firstInvalidUtf8(text).has_value();
    try {
        const json document = json::parse(raw ? widenBytes(text) : std::string(text));
        NewestPage page;
        page.next.offset = document.at("end-offset").get<std::uint64_t>();
        page.hasMore = document.value("has-more", false);
        for (const json &item : document.at("items")) {
            std::optional<KeyedRecord> record = decodeItem(item);
            if (!record) {
                ++page.unreadable;
                continue;
            }
            record->key = raw ? narrowBytes(record->key) : record->key;
            page.records.push_back(std::move(*record));
        }
        return page;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<fleet::StoreHistoryNumber> decodeHistory(const net::Headers &headers)
{
    const std::string text = net::findHeader(headers, names::storeHistoryHeader);
    const auto number = net::parseNumber(text);
    if (!number && !text.empty()) {
        constexpr std::size_t loggedBytes = 40;
        telemetry::writeLog(telemetry::LogLevel::Warning,
                            "decode answer",
                            "the number of the store's history is unusable",
                            {{"value", text.substr(0, loggedBytes)}});
    }
    return number;
}

std::string encodeRecord(const std::string &key, const std::string &value)
{
    const std::size_t size = 1 + key.size() + value.size();
    std::string bytes;
    for (std::size_t index = 0; index < lengthSize; ++index) {
        bytes += static_cast<char>((size >> (8 * (lengthSize - 1 - index))) & 0xff);
    }
    bytes += static_cast<char>(key.size());
    return bytes + key + value;
}

} // namespace jackdawdoor::platform
