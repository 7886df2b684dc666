/** Logging through Boost.Log, to stderr by default. */
#pragma once

#include "settings/settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdawdoor::telemetry {

using settings::LogFormat;
using settings::LogLevel;

/** Key-value pairs of a log line, in output order. */
using LogFields = std::vector<std::pair<std::string, std::string>>;

/** A decision of the core and its rejected alternatives; logged as one line. */
struct DecisionLine {
    std::string kind;
    std::uint64_t request = 0; ///< zero when the decision is not about one request
    std::string customer;
    std::string subject;
    std::string choice;
    std::string reason;
    std::string passedOver;

    bool operator==(const DecisionLine &) const = default;
};

/** Sets the level and format for the whole process. Call once, before any task starts. */
void startLogging(LogLevel level, LogFormat format);

/** Writes one line. step names the operation in progress, as in Error. */
void writeLog(LogLevel level, std::string_view step, std::string_view message, const LogFields &fields = {});

/** Writes one line for a decision, at info level. */
void logDecision(const DecisionLine &decision);

namespace detail {

/** One line without its newline: text, or a JSON object whose values are strings. Control characters are escaped. */
std::string formatLine(LogFormat format, LogLevel level, std::string_view step, std::string_view message, const LogFields &fields);

} // namespace detail

} // namespace jackdawdoor::telemetry
