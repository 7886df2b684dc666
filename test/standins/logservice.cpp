#include "standins/logservice.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jackdawdoor::standins {

namespace {

using net::queryParameter;

constexpr std::uint64_t maximumPage = 1000;
const net::Headers jsonType{{"Content-Type", "application/json"}};

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

LogService::LogService(int port)
    : m_server(
        [this](const StandinServer::Exchange &exchange, const net::RequestContent &request) {
            handle(exchange, request);
        },
        port)
{
}

const StandinServer &LogService::server() const
{
    return m_server;
}

std::uint64_t LogService::append(std::string data)
{
    std::uint64_t offset = 0;
    m_server.loop().call([&] {
        offset = m_records.size();
        m_records.push_back({std::move(data), net::now()});
    });
    return offset;
}

void LogService::setOutage(bool outage)
{
    m_server.loop().call([&] {
        m_outage = outage;
    });
}

void LogService::loseAcknowledgements(int count)
{
    m_server.loop().call([&] {
        m_lostAcknowledgements = count;
    });
}

void LogService::retainFrom(std::uint64_t offset)
{
    m_server.loop().call([&] {
        m_firstRetained = std::min<std::uint64_t>(offset, m_records.size());
    });
}

std::uint64_t LogService::size()
{
    std::uint64_t size = 0;
    m_server.loop().call([&] {
        size = m_records.size();
    });
    return size;
}

void LogService::handle(const StandinServer::Exchange &exchange, const net::RequestContent &request)
{
    if (request.path() == "/control") {
        control(exchange, request.target);
        return;
    }
    if (m_outage) {
        exchange->abort();
        return;
    }
    if (m_delay == Duration{}) {
        answer(exchange, request);
        return;
    }
    m_server.later(m_delay, [this, exchange, request] {
        answer(exchange, request);
    });
}

void LogService::answer(const StandinServer::Exchange &exchange, const net::RequestContent &request)
{
    if (request.path() != "/streams/configuration") {
        exchange->reply(404, {}, "");
    } else if (request.method == "POST") {
        answerAppend(exchange, request.body);
    } else {
        answerRead(exchange, request.target);
    }
}

void LogService::answerRead(const StandinServer::Exchange &exchange, const std::string &target)
{
    const std::uint64_t from = std::max(net::parseNumber(queryParameter(target, "from")).value_or(0), m_firstRetained);
    const std::uint64_t count = std::min(net::parseNumber(queryParameter(target, "max")).value_or(maximumPage), maximumPage);
    nlohmann::json records = nlohmann::json::array();
    for (std::uint64_t offset = from; offset < m_records.size() && records.size() < count; ++offset) {
        const Record &record = m_records[offset];
        records.push_back({{"offset", offset}, {"age_ms", milliseconds(net::now() - record.appended)}, {"data", record.data}});
    }
    const nlohmann::json page{{"first_retained", m_firstRetained},
                              {"next_offset", m_records.size()},
                              {"retention_ms", milliseconds(m_retention)},
                              {"records", records}};
    exchange->reply(200, jsonType, page.dump());
}

void LogService::answerAppend(const StandinServer::Exchange &exchange, const std::string &data)
{
    const std::uint64_t offset = m_records.size();
    m_records.push_back({data, net::now()});
    if (m_lostAcknowledgements > 0) {
        --m_lostAcknowledgements;
        exchange->abort();
        return;
    }
    exchange->reply(200, jsonType, nlohmann::json{{"offset", offset}}.dump());
}

void LogService::control(const StandinServer::Exchange &exchange, const std::string &target)
{
    const auto number = [&](const char *name, std::uint64_t present) {
        return net::parseNumber(queryParameter(target, name)).value_or(present);
    };
    m_outage = number("outage", m_outage ? 1 : 0) != 0;
    m_lostAcknowledgements = static_cast<int>(number("lose_acknowledgements", m_lostAcknowledgements));
    m_firstRetained = std::min<std::uint64_t>(number("first_retained", m_firstRetained), m_records.size());
    m_retention = std::chrono::milliseconds{number("retention_ms", milliseconds(m_retention))};
    m_delay = std::chrono::milliseconds{number("slow_ms", milliseconds(m_delay))};
    exchange->reply(200, {}, "");
}

} // namespace jackdawdoor::standins
