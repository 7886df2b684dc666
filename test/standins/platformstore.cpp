#include "standins/platformstore.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace jackdawdoor::standins {

namespace {

using net::queryParameter;

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr Duration pollPeriod = std::chrono::milliseconds{10};

std::string bigEndian(std::uint64_t value, int size)
{
    std::string bytes;
    for (int index = size - 1; index >= 0; --index) {
        bytes += static_cast<char>((value >> (8 * index)) & 0xff);
    }
    return bytes;
}

std::uint64_t fromBigEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = value * 256 + static_cast<unsigned char>(byte);
    }
    return value;
}

/** True if the target has only characters that RFC 3986 allows in a path with a query. */
bool isRequestTarget(std::string_view target)
{
    constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~:/?@!$&'()*+,;=%";
    return target.find_first_not_of(allowed) == std::string_view::npos;
}

} // namespace

PlatformStore::PlatformStore()
    : m_server([this](const StandinServer::Exchange &exchange, const net::RequestContent &request) {
        handle(exchange, request);
    })
{
}

const StandinServer &PlatformStore::server() const
{
    return m_server;
}

void PlatformStore::put(const std::string &topic, const std::string &key, const std::string &value)
{
    m_server.loop().call([&] {
        m_topics[topic].records.push_back({key, value});
    });
}

void PlatformStore::compact(const std::string &topic)
{
    m_server.loop().call([&] {
        m_topics[topic].first = m_topics[topic].records.size();
    });
}

void PlatformStore::setFault(StoreFault fault)
{
    m_server.loop().call([&] {
        m_fault = fault;
    });
}

void PlatformStore::setUnavailableTopic(const std::string &topic)
{
    m_server.loop().call([&] {
        m_unavailableTopic = topic;
    });
}

void PlatformStore::setPageSize(std::size_t records)
{
    m_server.loop().call([&] {
        m_pageSize = records;
    });
}

void PlatformStore::setReadSize(std::size_t bytes)
{
    m_server.loop().call([&] {
        m_readSize = bytes;
    });
}

void PlatformStore::setStrangeItem(const std::string &item)
{
    m_server.loop().call([&] {
        m_strangeItem = item;
    });
}

PlatformStore::Copy PlatformStore::copy()
{
    Copy copy;
    m_server.loop().call([&] {
        copy = m_topics;
    });
    return copy;
}

void PlatformStore::restore(const Copy &copy)
{
    m_server.loop().call([&] {
        m_topics = copy;
        ++m_history;
    });
}

void PlatformStore::reply(const StandinServer::Exchange &exchange, int status, const std::string &body) const
{
    exchange->reply(status, {{"Store-Era", std::to_string(m_history)}}, body);
}

int PlatformStore::calls()
{
    int count = 0;
    m_server.loop().call([&] {
        count = m_calls;
    });
    return count;
}

std::string PlatformStore::newest(const std::string &topic, const std::string &key)
{
    std::string value;
    m_server.loop().call([&] {
        for (const Record &record : m_topics[topic].records) {
            value = record.key == key ? record.value : value;
        }
    });
    return value;
}

void PlatformStore::handle(const StandinServer::Exchange &exchange, const net::RequestContent &request)
{
    constexpr int unavailable = 503;
    constexpr int tooMany = 429;
    ++m_calls;
    if (!m_unavailableTopic.empty() && queryParameter(request.target, "topic") == m_unavailableTopic) {
        reply(exchange, unavailable, "");
        return;
    }
    switch (m_fault) {
    case StoreFault::Busy:
        reply(exchange, unavailable, "");
        return;
    case StoreFault::TooMany:
        reply(exchange, tooMany, "");
        return;
    case StoreFault::Silent:
        m_silent.push_back(exchange);
        return;
    case StoreFault::LostAnswer:
        if (request.method == "POST") {
            answerAppend(exchange, request);
        }
        exchange->abort();
        return;
    case StoreFault::None:
        answer(exchange, request);
        return;
    }
}

void PlatformStore::answer(const StandinServer::Exchange &exchange, const net::RequestContent &request)
{
    const std::string path = request.path();
    if (path == "/v1/log-read") {
        answerRead(exchange, request.target, Duration::zero());
    } else if (path == "/v1/log-newest") {
        answerNewest(exchange, request.target);
    } else if (path == "/v1/log-append") {
        answerAppend(exchange, request);
    } else {
        constexpr int notFound = 404;
        reply(exchange, notFound, "");
    }
}

void PlatformStore::answerRead(const StandinServer::Exchange &exchange, const std::string &target, Duration waited)
{
    const Topic &topic = m_topics[queryParameter(target, "topic")];
    const std::uint64_t from = net::parseNumber(queryParameter(target, "from")).value_or(0);
    const Duration wait = std::chrono::milliseconds{net::parseNumber(queryParameter(target, "wait-ms")).value_or(0)};
    if (from < topic.first || from > topic.records.size()) {
        constexpr int gone = 410;
        reply(exchange, gone, nlohmann::json{{"first", topic.first}}.dump());
        return;
    }
    if (from >= topic.records.size() && waited < wait) {
        m_server.later(pollPeriod, [this, exchange, target, waited] {
            if (!exchange->closed()) {
                answerRead(exchange, target, waited + pollPeriod);
            }
        });
        return;
    }
    std::string body = bigEndian(topic.records.size(), 8) + bigEndian(topic.first, 8);
    for (std::uint64_t offset = from; offset < topic.records.size(); ++offset) {
        const Record &record = topic.records[offset];
        const std::size_t size = 5 + record.key.size() + record.value.size();
        if (offset > from && body.size() + size > m_readSize) {
            break;
        }
        body += bigEndian(1 + record.key.size() + record.value.size(), 4);
        body += bigEndian(record.key.size(), 1) + record.key + record.value;
    }
    reply(exchange, ok, body);
}

void PlatformStore::answerNewest(const StandinServer::Exchange &exchange, const std::string &target)
{
    if (!isRequestTarget(target)) {
        reply(exchange, badRequest, "");
        return;
    }
    const Topic &topic = m_topics[queryParameter(target, "topic")];
    const bool first = target.find("&after=") == std::string::npos;
    const std::string after = queryParameter(target, "after");
    std::map<std::string, std::uint64_t> newest;
    for (std::uint64_t offset = 0; offset < topic.records.size(); ++offset) {
        const Record &record = topic.records[offset];
        if (record.value.empty()) {
            newest.erase(record.key);
        } else {
            newest[record.key] = offset;
        }
    }
    std::string items = m_strangeItem;
    std::size_t count = 0;
    auto position = first ? newest.begin() : newest.upper_bound(after);
    for (; position != newest.end() && count < m_pageSize; ++position, ++count) {
        const std::string &value = topic.records[position->second].value;
        const nlohmann::json item{{"key", position->first}, {"value", absl::Base64Escape(value)}, {"offset", position->second}};
        items += (items.empty() ? "" : ",") + item.dump();
    }
    const std::string more = position == newest.end() ? "false" : "true";
    const std::string end = std::to_string(topic.records.size());
    reply(exchange, ok, R"({"items":[)" + items + R"(],"has-more":)" + more + R"(,"end-offset":)" + end + "}");
}

void PlatformStore::answerAppend(const StandinServer::Exchange &exchange, const net::RequestContent &request)
{
    Topic &topic = m_topics[queryParameter(request.target, "topic")];
    const std::string_view body = request.body;
    std::size_t position = 0;
    while (position + 5 <= body.size()) {
        const std::uint64_t size = fromBigEndian(body.substr(position, 4));
        const std::string_view content = body.substr(position + 4, size);
        const std::uint64_t keySize = fromBigEndian(content.substr(0, 1));
        topic.records.push_back({std::string(content.substr(1, keySize)), std::string(content.substr(1 + keySize))});
        position += 4 + size;
    }
    if (m_fault == StoreFault::None) {
        reply(exchange, ok, nlohmann::json{{"end-offset", topic.records.size()}}.dump());
    }
}

} // namespace jackdawdoor::standins
