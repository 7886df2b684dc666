#include "telemetry/log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <ctime>
#include <iostream>

namespace jackdawdoor::telemetry {

namespace {

namespace expressions = boost::log::expressions;

std::atomic<LogFormat> chosenFormat{LogFormat::Text};
std::atomic<LogLevel> chosenLevel{LogLevel::Info};

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

std::string timeText()
{
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(1000 + milliseconds).substr(1);
    return std::string(text, length) + "." + fraction + "Z";
}

/** The value as a JSON string; invalid UTF-8 is replaced so that input from a caller cannot corrupt the log. */
std::string jsonText(std::string_view value)
{
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string formatText(LogLevel level, std::string_view step, std::string_view message, const LogFields &fields)
{
    std::string line = timeText() + " " + levelName(level) + " " + std::string(step) + ": ";
    // Unescaped control characters would let a caller inject log lines.
    const std::string escaped = jsonText(message);
    line += escaped.substr(1, escaped.size() - 2);
    for (const auto &[name, value] : fields) {
        line += " " + name + "=" + jsonText(value);
    }
    return line;
}

std::string formatJson(LogLevel level, std::string_view step, std::string_view message, const LogFields &fields)
{
    std::string line = R"({"time":")" + timeText() + R"(","level":")" + levelName(level) + R"(","step":)" + jsonText(step);
    line += R"(,"message":)" + jsonText(message);
    for (const auto &[name, value] : fields) {
        line += "," + jsonText(name) + ":" + jsonText(value);
    }
    return line + "}";
}

} // namespace

namespace detail {

std::string formatLine(LogFormat format, LogLevel level, std::string_view step, std::string_view message, const LogFields &fields)
{
    return format == LogFormat::Json ? formatJson(level, step, message, fields) : formatText(level, step, message, fields);
}

} // namespace detail

void startLogging(LogLevel level, LogFormat format)
{
    chosenFormat = format;
    chosenLevel = level;
    boost::log::core::get()->remove_all_sinks();
    const auto sink = boost::log::add_console_log(std::cerr);
    sink->set_formatter(expressions::stream << expressions::smessage);
    sink->locked_backend()->auto_flush(true);
}

void writeLog(LogLevel level, std::string_view step, std::string_view message, const LogFields &fields)
{
    if (level < chosenLevel.load()) {
        return;
    }
    thread_local boost::log::sources::severity_logger<LogLevel> logger;
    BOOST_LOG_SEV(logger, level) << detail::formatLine(chosenFormat, level, step, message, fields);
}

void logDecision(const DecisionLine &decision)
{
    LogFields fields{{"customer", decision.customer},
                     {"subject", decision.subject},
                     {"choice", decision.choice},
                     {"reason", decision.reason},
                     {"passed_over", decision.passedOver}};
    if (decision.request != 0) {
        fields.emplace_back("request", std::to_string(decision.request));
    }
    writeLog(LogLevel::Info, "decide", decision.kind, fields);
}

} // namespace jackdawdoor::telemetry
