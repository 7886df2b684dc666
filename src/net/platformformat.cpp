#include "net/platformformat.h"

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

Duration fromMilliseconds(const json &value)
{
    return std::chrono::milliseconds{value.get<std::int64_t>()};
}

} // namespace

Result<LogPageContent> parseLogPage(const std::string &text, const std::string &peer)
{
    return readJson(text, "read log", peer, [](const json &page) {
        LogPageContent content{page.at("first_retained").get<std::uint64_t>(),
                               page.at("next_offset").get<std::uint64_t>(),
                               fromMilliseconds(page.at("retention_ms")),
                               {}};
        for (const json &record : page.at("records")) {
            content.entries.push_back(
                {record.at("offset").get<std::uint64_t>(), fromMilliseconds(record.at("age_ms")), record.at("data").get<std::string>()});
        }
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
    return readJson(text, "read instance list", peer, [](const json &list) {
        std::vector<ListedInstance> instances;
        for (const json &entry : list.at("instances")) {
            instances.push_back({InstanceId{entry.at("id").get<std::string>()},
                                 entry.at("address").get<std::string>(),
                                 DataCentreId{entry.at("data_centre").get<std::string>()},
                                 entry.at("state").get<std::string>() == "leaving",
                                 entry.value("role", "entry") == "upstream"});
        }
        return instances;
    });
}

} // namespace jackdawdoor::net
