/** Records of the log stream `configuration`. */
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jackdawdoor::configuration {

/** Position in the log. Bounds named `asOf` are exclusive: all records at smaller offsets have been decided. */
using Offset = std::uint64_t;

/** Version of a customer's contract: the offset of its accepted publish plus 1; 0 means "does not exist". */
using Version = std::uint64_t;

/** Largest contract text accepted, so that one contract always fits into one peer message. */
constexpr std::size_t maximumBodyBytes = std::size_t{192} * 1024;

/** An operator's wish to replace a contract. Accepted if `baseVersion` is the customer's version just before the
 * record and the body is a valid contract, or the record is a tombstone. */
struct Publish {
    CustomerId customer;
    std::string publishId; ///< unique per wish; the same in each copy that an uncertain publisher appends
    Version baseVersion = 0;
    std::optional<std::string> body; ///< contract text; none is a tombstone, which deletes the customer

    bool operator==(const Publish &) const = default;
};

/** A customer's state, appended again by an instance before its older records expire. Never makes a new version. */
struct Snapshot {
    CustomerId customer;
    Version version = 0;
    Offset asOf = 0; ///< the state takes all records before this offset into account
    std::optional<std::string> body; ///< none is a tombstone

    bool operator==(const Snapshot &) const = default;
};

/** States that each customer that existed at `asOf` has a snapshot in the log between `asOf` and this record. */
struct CycleEnd {
    Offset asOf = 0;

    bool operator==(const CycleEnd &) const = default;
};

using LogRecord = std::variant<Publish, Snapshot, CycleEnd>;

/** The record as JSON text. */
std::string encodeRecord(const LogRecord &record);

/** The record, or nothing when the text is not one; such records are skipped by all readers alike. */
std::optional<LogRecord> decodeRecord(std::string_view text);

} // namespace jackdawdoor::configuration
