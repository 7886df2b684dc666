#include "standins/instancelist.h"

namespace jackdawdoor::standins {

InstanceList::InstanceList(int port)
    : m_server(
        [this](const StandinServer::Exchange &exchange, const net::RequestContent &request) {
            handle(exchange, request);
        },
        port)
{
}

const StandinServer &InstanceList::server() const
{
    return m_server;
}

void InstanceList::set(const std::string &id, const std::string &address, const std::string &dataCentre, const std::string &state)
{
    m_server.loop().call([&] {
        m_entries[id] = {{"id", id}, {"address", address}, {"data_centre", dataCentre}, {"state", state}};
    });
}

void InstanceList::remove(const std::string &id)
{
    m_server.loop().call([&] {
        m_entries.erase(id);
    });
}

void InstanceList::setOutage(bool outage)
{
    m_server.loop().call([&] {
        m_outage = outage;
    });
}

void InstanceList::handle(const StandinServer::Exchange &exchange, const net::RequestContent &request)
{
    if (request.path() == "/control") {
        const auto outage = net::parseNumber(net::queryParameter(request.target, "outage"));
        const auto lag = net::parseNumber(net::queryParameter(request.target, "lag_ms"));
        m_outage = outage ? *outage != 0 : m_outage;
        m_lag = lag ? Duration{std::chrono::milliseconds{*lag}} : m_lag;
        exchange->reply(200, {}, "");
        return;
    }
    if (request.method == "PUT") {
        m_server.later(m_lag, [this, body = request.body] {
            replace(body);
        });
        exchange->reply(200, {}, "");
        return;
    }
    if (m_outage) {
        exchange->abort();
        return;
    }
    nlohmann::json instances = nlohmann::json::array();
    for (const auto &entry : m_entries) {
        instances.push_back(entry);
    }
    exchange->reply(200, {{"Content-Type", "application/json"}}, nlohmann::json{{"instances", instances}}.dump());
}

void InstanceList::replace(const std::string &body)
{
    const nlohmann::json list = nlohmann::json::parse(body, nullptr, false);
    if (!list.is_object() || !list.contains("instances")) {
        return;
    }
    m_entries = nlohmann::json::object();
    for (const auto &entry : list["instances"]) {
        m_entries[entry.at("id").get<std::string>()] = entry;
    }
}

} // namespace jackdawdoor::standins
