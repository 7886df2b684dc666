#include "standins/upstream.h"

#include "base/stablehash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace jackdawdoor::standins {

namespace {

constexpr std::array<std::pair<const char *, Fault>, 9> faultNames{{{"none", Fault::None},
                                                                    {"slow", Fault::Slow},
                                                                    {"error", Fault::Error},
                                                                    {"wrong", Fault::Wrong},
                                                                    {"short", Fault::Short},
                                                                    {"hang", Fault::Hang},
                                                                    {"reset", Fault::Reset},
                                                                    {"shed", Fault::Shed},
                                                                    {"drain", Fault::Drain}}};
constexpr std::size_t chunkBytes = std::size_t{64} * 1024;

} // namespace

Upstream::Upstream(int port)
    : m_server(
        [this](const StandinServer::Exchange &exchange, const net::RequestContent &request) {
            handle(exchange, request);
        },
        port)
{
}

const StandinServer &Upstream::server() const
{
    return m_server;
}

void Upstream::behave(const Behaviour &behaviour)
{
    m_server.loop().call([&] {
        m_behaviour = behaviour;
    });
}

std::uint64_t Upstream::runs()
{
    std::uint64_t runs = 0;
    m_server.loop().call([&] {
        runs = m_runs;
    });
    return runs;
}

std::uint64_t Upstream::runs(const std::string &key)
{
    std::uint64_t runs = 0;
    m_server.loop().call([&] {
        const auto found = m_runsByKey.find(key);
        runs = found == m_runsByKey.end() ? 0 : found->second;
    });
    return runs;
}

std::string Upstream::bodyBytes(std::uint64_t position, std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t index = 0; index < count; ++index) {
        const std::uint64_t place = position + index;
        bytes[index] = static_cast<char>('a' + (place ^ (place >> 8) ^ (place >> 16)) % 26);
    }
    return bytes;
}

void Upstream::handle(const StandinServer::Exchange &exchange, const net::RequestContent &request)
{
    if (request.path() == "/control") {
        control(exchange, request.target);
        return;
    }
    if (request.path() == "/counts") {
        exchange->reply(200, {{"Content-Type", "application/json"}}, nlohmann::json{{"runs", m_runs}, {"keys", m_runsByKey}}.dump());
        return;
    }
    const Fault fault = meetsFault() ? m_behaviour.fault : Fault::None;
    if (fault == Fault::Shed || fault == Fault::Drain) {
        net::Headers headers{{"Retry-After", "1"}};
        if (fault == Fault::Drain) {
            headers.push_back({"Connection", "close"});
        }
        exchange->reply(503, headers, "");
        return;
    }
    run(exchange, request, fault);
}

bool Upstream::meetsFault()
{
    // Hashes the request's number, so that the same order of requests meets the same faults.
    const std::uint64_t draw = stableHash(std::to_string(m_received++)) % 100;
    return draw < static_cast<std::uint64_t>(m_behaviour.percent);
}

void Upstream::run(const StandinServer::Exchange &exchange, const net::RequestContent &request, Fault fault)
{
    ++m_runs;
    const std::string key = net::findHeader(request.headers, "Idempotency-Key");
    if (!key.empty()) {
        ++m_runsByKey[key];
    }
    if (fault == Fault::Hang) {
        return;
    }
    if (fault == Fault::Reset) {
        exchange->abort();
        return;
    }
    if (m_behaviour.delay > Duration{} && (fault == Fault::Slow || m_behaviour.fault != Fault::Slow)) {
        m_server.later(m_behaviour.delay, [this, exchange, request, fault] {
            answer(exchange, request, fault);
        });
        return;
    }
    answer(exchange, request, fault);
}

void Upstream::answer(const StandinServer::Exchange &exchange, const net::RequestContent &request, Fault fault)
{
    net::Headers headers{{"X-Run", std::to_string(m_runs)}, {"X-Echo-Target", request.target}};
    if (fault == Fault::Error) {
        exchange->reply(500, headers, "error");
        return;
    }
    if (fault == Fault::Wrong) {
        headers.push_back({"Content-Type", "text/html"});
        exchange->reply(200, headers, "<html></html>");
        return;
    }
    headers.push_back({"Content-Type", "application/octet-stream"});
    headers.push_back({"Age", "0"});
    const std::uint64_t size = net::parseNumber(net::queryParameter(request.target, "bytes")).value_or(m_behaviour.bodyBytes);
    exchange->start(200, headers, size);
    stream(exchange, 0, fault == Fault::Short ? size / 2 : size, fault == Fault::Short);
}

void Upstream::stream(const StandinServer::Exchange &exchange, std::uint64_t position, std::uint64_t end, bool breaks)
{
    if (position >= end) {
        if (breaks) {
            exchange->abort();
        } else {
            exchange->end();
        }
        return;
    }
    const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(end - position, chunkBytes));
    exchange->send(bodyBytes(position, count), [this, exchange, position, count, end, breaks] {
        stream(exchange, position + count, end, breaks);
    });
}

void Upstream::control(const StandinServer::Exchange &exchange, const std::string &target)
{
    const std::string name = net::queryParameter(target, "fault");
    const auto found = std::find_if(faultNames.begin(), faultNames.end(), [&](const auto &entry) {
        return name == entry.first;
    });
    if (found == faultNames.end()) {
        exchange->reply(400, {}, "unknown fault");
        return;
    }
    const auto number = [&](const char *parameter, std::uint64_t absent) {
        return net::parseNumber(net::queryParameter(target, parameter)).value_or(absent);
    };
    m_behaviour.fault = found->second;
    m_behaviour.delay = std::chrono::milliseconds{number("delay_ms", 0)};
    m_behaviour.bodyBytes = number("body_bytes", Behaviour{}.bodyBytes);
    m_behaviour.percent = static_cast<int>(number("percent", 100));
    exchange->reply(200, {}, "");
}

} // namespace jackdawdoor::standins
