#include "cli/statustable.h"

#include "cli/table.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace jackdawdoor::cli {

namespace {

using nlohmann::json;

std::string text(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string oneDecimal(const json &value)
{
    std::ostringstream stream;
    stream.setf(std::ios::fixed);
    stream.precision(1);
    stream << value.get<double>();
    return stream.str();
}

void printSummary(const json &status, std::ostream &out)
{
    const json &requests = status.at("requests");
    const std::string state = status.at("stopping").get<bool>() ? "stopping" : status.at("ready").get<bool>() ? "ready" : "not ready";
    out << text(status.at("instance")) << " (incarnation " << status.at("incarnation") << "): " << state << "\n"
        << "requests: " << status.at("active_requests") << " in progress, " << requests.at("admitted") << " admitted, "
        << requests.at("relayed") << " answered, refused " << requests.at("refused_not_run") << " not-run and "
        << requests.at("refused_unknown") << " unknown, " << requests.at("attempts") << " attempts, " << requests.at("retries")
        << " retries\n"
        << "keys: " << status.at("home_keys") << " as home, " << status.at("witness_keys") << " as witness\n";
}

Table versionRows(const json &status)
{
    Table rows{{"CUSTOMER", "VERSION"}};
    for (const auto &entry : status.at("versions").items()) {
        rows.push_back({entry.key(), text(entry.value())});
    }
    return rows;
}

Table memberRows(const json &status)
{
    Table rows{{"MEMBER", "STATE", "DATA CENTRE", "ADDRESS", "INCARNATION"}};
    for (const json &member : status.at("members")) {
        rows.push_back({text(member.at("id")),
                        text(member.at("state")),
                        text(member.at("data_centre")),
                        text(member.at("address")),
                        text(member.at("incarnation"))});
    }
    return rows;
}

Table serviceRows(const json &status)
{
    Table rows{{"SERVICE", "VERSION", "COORDINATOR", "USABLE", "FLOOR", "QUEUED", "RETRIES"}};
    for (const json &service : status.at("services")) {
        rows.push_back({text(service.at("service")),
                        text(service.at("policy_version")),
                        text(service.at("coordinator")),
                        text(service.at("usable")),
                        text(service.at("healthy_floor")),
                        text(service.at("queued")),
                        oneDecimal(service.at("retry_balance"))});
    }
    return rows;
}

Table upstreamRows(const json &status)
{
    Table rows{{"UPSTREAM", "STANDING", "SEVERITY", "SLOTS IN USE", "SLOTS FREE"}};
    for (const json &service : status.at("services")) {
        for (const json &upstream : service.at("upstreams")) {
            rows.push_back({text(upstream.at("upstream")),
                            text(upstream.at("standing")),
                            oneDecimal(upstream.at("severity")),
                            text(upstream.at("slots_in_use")),
                            text(upstream.at("slots_free"))});
        }
    }
    return rows;
}

} // namespace

bool printStatus(const std::string &document, std::ostream &out)
{
    std::ostringstream printed;
    try {
        const json status = json::parse(document);
        printSummary(status, printed);
        for (const Table &rows : {versionRows(status), memberRows(status), serviceRows(status), upstreamRows(status)}) {
            printed << "\n";
            printTable(rows, printed);
        }
    } catch (const json::exception &) {
        return false;
    }
    out << printed.str();
    return true;
}

} // namespace jackdawdoor::cli
