#include "platform/storeformat.h"

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

} // namespace

std::optional<LogRecords> decodeRecords(std::string_view bytes, const fleet::StorePosition &from)
{
    if (bytes.size() < 2 * offsetSize) {
        return std::nullopt;
    }
    LogRecords result;
    result.next = from;
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
    try {
        const json document = json::parse(text);
        NewestPage page;
        page.next.offset = document.at("end-offset").get<std::uint64_t>();
        page.hasMore = document.value("has-more", false);
        for (const json &item : document.at("items")) {
            KeyedRecord record;
            record.key = item.at("key").get<std::string>();
            if (const auto offset = item.find("offset"); offset != item.end() && offset->is_number_unsigned()) {
                record.offset = offset->get<std::uint64_t>();
            }
            if (!absl::Base64Unescape(item.at("value").get<std::string>(), &record.value)) {
                record.value = "?"; // not valid JSON: keeps the key, but decodes to no entry
            }
            page.records.push_back(std::move(record));
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
