#include "net/platformformat.h"

#include "telemetry/log.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::net {

namespace {

using nlohmann::json;

/** Parses JSON and reads it; a missing key or an unexpected type becomes an error. */
template <typename Reader>
auto readJson(const std::string &text, const char *step, const std::string &peer, Reader reader) -> Result<decltype(reader(json{}))>
{
    try {
        return reader(json::parse(text));
    } catch (const json::exception &error) {
        return Error{step, peer, std::string("malformed answer: ") + error.what()};
    }
}

/** Reads the items of a list. One that cannot be read may come from another writer: it is skipped and does not hide the others. */
template <typename Reader>
auto readItems(const json &items, const char *step, const std::string &peer, Reader reader) -> std::vector<decltype(reader(json{}))>
{
    std::vector<decltype(reader(json{}))> read;
    std::size_t unreadable = 0;
    for (const json &item : items) {
        try {
            read.push_back(reader(item));
        } catch (const json::exception &) {
            ++unreadable;
        }
    }
    if (unreadable > 0) {
        telemetry::writeLog(telemetry::LogLevel::Warning,
                            step,
                            "ignoring items that cannot be read",
                            {{"peer", peer}, {"items", std::to_string(unreadable)}});
    }
    return read;
}

Duration fromMilliseconds(const json &value)
{
    return std::chrono::milliseconds{value.get<std::int64_t>()};
}

} // namespace

Result<LogPageContent> parseLogPage(const std::string &text, const std::string &peer)
{
    constexpr const char *step = "read log";
    return readJson(text, step, peer, [&peer](const json &page) {
        LogPageContent content{page.at("first_retained").get<std::uint64_t>(),
                               page.at("next_offset").get<std::uint64_t>(),
                               fromMilliseconds(page.at("retention_ms")),
                               {}};
        content.entries = readItems(page.at("records"), step, peer, [](const json &record) {
            return LogPageEntry{
                record.at("offset").get<std::uint64_t>(), fromMilliseconds(record.at("age_ms")), record.at("data").get<std::string>()};
        });
        return content;
    });
}

Result<std::uint64_t> parseAppendAnswer(const std::string &text, const std::string &peer)
{
    return readJson(text, "append to log", peer, [](const json &answer) {
        return answer.at("offset").get<std::uint64_t>();
    });
}

Result<std::vector<ListedInstance>> parseInstanceList(const std::string &text, const std::string &peer)
{
    constexpr const char *step = "read instance list";
    return readJson(text, step, peer, [&peer](const json &list) {
        return readItems(list.at("instances"), step, peer, [](const json &entry) {
            return ListedInstance{InstanceId{entry.at("id").get<std::string>()},
                                  entry.at("address").get<std::string>(),
                                  DataCentreId{entry.at("data_centre").get<std::string>()},
                                  entry.at("state").get<std::string>() == "leaving",
                                  entry.value("role", "entry") == "upstream"};
        });
    });
}

} // namespace jackdawdoor::net
