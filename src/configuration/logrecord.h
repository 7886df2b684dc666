/** Records of the log stream `configuration`. */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jackdawdoor::configuration {

/** Position in the log. Bounds named `asOf` are exclusive: all records at lower offsets have been decided. */
using Offset = std::uint64_t;

/** Version of a customer's contract: the offset of its accepted publish plus 1; 0 means "does not exist". */
using Version = std::uint64_t;

/** Largest contract text accepted, so that one contract always fits into one peer message. */
constexpr std::size_t maximumBodyBytes = std::size_t{192} * 1024;

/** Request of an operator to replace a contract. Accepted if `baseVersion` is the customer's version just before the
 * record, and the body is a valid contract or the record is a tombstone. */
struct Publish {
    CustomerId customer;
    std::string publishId; ///< unique per publish; the same in each copy that a publisher appends on retry
    Version baseVersion = 0;
    std::optional<std::string> body; ///< contract text; none for a tombstone, which deletes the customer

    bool operator==(const Publish &) const = default;
};

/** State of a customer, appended by an instance before the customer's older records expire. Creates no new version. */
struct Snapshot {
    CustomerId customer;
    Version version = 0;
    Offset asOf = 0; ///< the state takes all records before this offset into account
    std::optional<std::string> body; ///< none for a tombstone

    bool operator==(const Snapshot &) const = default;
};

/** Asserts that each customer that existed at `asOf` has a snapshot in the log between `asOf` and this record. */
struct CycleEnd {
    Offset asOf = 0;

    bool operator==(const CycleEnd &) const = default;
};

using LogRecord = std::variant<Publish, Snapshot, CycleEnd>;

/** The record as JSON text. */
std::string encodeRecord(const LogRecord &record);

/** The record, or nullopt when the text is not a valid one; all readers skip such records. */
std::optional<LogRecord> decodeRecord(std::string_view text);

} // namespace jackdawdoor::configuration
