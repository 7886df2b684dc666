/** Formats of the platform's store: records of its logs, pages of newest records, and the number of its history.
 *
 * Other programs write to the store's topics as well. What cannot be read of a record or of an item is skipped; the others hold.
 */
#pragma once

#include "fleet/storehistory.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::platform {

/** Record of a keyed topic; an empty value deletes the key. */
struct KeyedRecord {
    std::string key;
    std::string value;
    std::optional<std::uint64_t> offset = std::nullopt; ///< nothing if the store doesn't state it

    bool operator==(const KeyedRecord &) const = default;
};

/** Records of a log from an offset on. */
struct LogRecords {
    std::vector<KeyedRecord> records;
    fleet::StorePosition next;
    std::uint64_t end = 0; ///< offset behind the last record of the log; an answer may hold fewer

    bool operator==(const LogRecords &) const = default;
};

/** Decodes the answer to log-read; from is the offset of its first record. Nothing if the bytes are malformed. */
std::optional<LogRecords> decodeRecords(std::string_view bytes, const fleet::StorePosition &from);

/** Page of the newest record of each key. */
struct NewestPage {
    std::vector<KeyedRecord> records;
    fleet::StorePosition next;
    bool hasMore = false;
    std::size_t unreadable = 0; ///< items without a usable key or value

    bool operator==(const NewestPage &) const = default;
};

/** Decodes the answer to log-newest. Nothing if the text is malformed as a whole. */
std::optional<NewestPage> decodeNewest(std::string_view text);

/** Returns the number of the store's history in the head of an answer. Nothing if there is none; an unusable one is logged. */
std::optional<fleet::StoreHistoryNumber> decodeHistory(const net::Headers &headers);

/** Encodes a record of a keyed topic for log-append. */
std::string encodeRecord(const std::string &key, const std::string &value);

} // namespace jackdawdoor::platform
