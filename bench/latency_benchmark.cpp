/* Added latency of one instance on loopback: requests through an instance minus direct requests to the upstream.
 *
 * Both paths alternate, each with one keep-alive connection at a time, so that noise on the machine affects both equally.
 */
#include "configuration/logrecord.h"
#include "net/instancecore.h"
#include "net/server.h"
#include "standins/instancelist.h"
#include "standins/logservice.h"
#include "standins/upstream.h"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace jackdawdoor;
using nlohmann::json;

namespace {

constexpr int samples = 4000;

/** Blocking HTTP client on one keep-alive connection. */
class Client
{
public:
    explicit Client(int port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            std::perror("connect to 127.0.0.1");
            std::exit(1);
        }
    }
    ~Client()
    {
        close(m_socket);
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /** Sends a GET, reads the complete answer and returns its status. */
    int get(const std::string &path)
    {
        const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        if (send(m_socket, request.data(), request.size(), 0) < 0) {
            return 0;
        }
        std::string answer;
        std::size_t end = std::string::npos;
        while (end == std::string::npos || answer.size() < end) {
            char buffer[8192];
            const ssize_t count = recv(m_socket, buffer, sizeof(buffer), 0);
            if (count <= 0) {
                return 0;
            }
            answer.append(buffer, static_cast<std::size_t>(count));
            const std::size_t head = answer.find("\r\n\r\n");
            const std::size_t length = answer.find("Content-Length: ");
            if (head != std::string::npos && length != std::string::npos && length < head) {
                end = head + 4 + std::strtoul(answer.c_str() + length + 16, nullptr, 10);
            }
        }
        return std::atoi(answer.c_str() + 9);
    }

private:
    int m_socket;
};

/** Platform stand-ins, upstreams and one instance with a contract in force. */
class OneInstance
{
public:
    OneInstance()
        : m_server(settings::SettingsBuilder()
                       .identity("bench", "north-1")
                       .listen({"127.0.0.1", 0}, {"127.0.0.1", 0}, {"127.0.0.1", 0})
                       .platform(m_log.server().url(), m_list.server().url() + "/instances")
                       .logging(settings::LogLevel::Error, settings::LogFormat::Text)
                       .fleetKey("0123456789abcdef")
                       .build()
                       .value())
    {
        m_log.append(configuration::encodeRecord(configuration::Publish{CustomerId{"norte"}, "p1", 0, contract()}));
        if (!m_server.start(net::makeInstanceCore)) {
            std::fprintf(stderr, "the instance failed to start\n");
            std::exit(1);
        }
        m_list.set("bench", m_server.peers().text(), "north-1", "live");
        Client probe(m_server.callers().port);
        for (int round = 0; round < 300 && probe.get("/norte/claims/claims/1") != 200; ++round) {
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
    }

    int port() const
    {
        return m_server.callers().port;
    }

    int upstreamPort() const
    {
        return m_upstreams[0].server().port();
    }

private:
    std::string contract() const
    {
        json upstreams = json::array();
        for (const standins::Upstream &upstream : m_upstreams) {
            upstreams.push_back({{"name", "u" + std::to_string(upstream.server().port())},
                                 {"address", upstream.server().address()},
                                 {"dataCentre", "north-1"}});
        }
        const json read = {{"name", "read"},
                           {"method", "GET"},
                           {"pathPrefix", "/claims"},
                           {"idempotent", true},
                           {"usefulWithin", "3s"},
                           {"largestRequest", "8KiB"},
                           {"largestAnswer", "1MiB"}};
        const json service = {{"name", "claims"},
                              {"peakRequestsPerSecond", 200},
                              {"healthyFloor", 1},
                              {"upstreamDefaults", {{"slots", 6}, {"connections", 400}}},
                              {"upstreams", upstreams},
                              {"operations", json::array({read})}};
        return json{{"customer", "norte"}, {"weight", "false-ejections"}, {"services", json::array({service})}}.dump();
    }

    standins::LogService m_log;
    standins::InstanceList m_list;
    standins::Upstream m_upstreams[4];
    net::Server m_server;
};

double percentile(std::vector<double> &values, double share)
{
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

double timedGet(Client &client, const std::string &path, int &failures)
{
    const auto begin = std::chrono::steady_clock::now();
    failures += client.get(path) == 200 ? 0 : 1;
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
}

void addedLatency(benchmark::State &state)
{
    OneInstance instance;
    for (auto _ : state) {
        Client direct(instance.upstreamPort());
        Client proxied(instance.port());
        std::vector<double> directTimes;
        std::vector<double> proxiedTimes;
        int failures = 0;
        for (int sample = 0; sample < samples; ++sample) {
            directTimes.push_back(timedGet(direct, "/claims/1", failures));
            proxiedTimes.push_back(timedGet(proxied, "/norte/claims/claims/1", failures));
        }
        state.counters["direct_p50_ms"] = percentile(directTimes, 0.5);
        state.counters["direct_p99_ms"] = percentile(directTimes, 0.99);
        state.counters["proxied_p50_ms"] = percentile(proxiedTimes, 0.5);
        state.counters["proxied_p99_ms"] = percentile(proxiedTimes, 0.99);
        state.counters["added_p99_ms"] = percentile(proxiedTimes, 0.99) - percentile(directTimes, 0.99);
        state.counters["failures"] = failures;
    }
}

/** Resident memory per open caller connection. */
void memoryPerConnection(benchmark::State &state)
{
    const auto resident = [] {
        long pages = 0;
        std::FILE *file = std::fopen("/proc/self/statm", "r");
        if (file == nullptr || std::fscanf(file, "%*d %ld", &pages) != 1) {
            std::exit(1);
        }
        std::fclose(file);
        return static_cast<double>(pages) * static_cast<double>(sysconf(_SC_PAGESIZE));
    };
    OneInstance instance;
    for (auto _ : state) {
        const double before = resident();
        std::vector<std::unique_ptr<Client>> clients;
        for (std::int64_t number = 0; number < state.range(0); ++number) {
            clients.push_back(std::make_unique<Client>(instance.port()));
            clients.back()->get("/norte/claims/claims/1");
        }
        state.counters["bytes_per_connection"] = (resident() - before) / static_cast<double>(state.range(0));
    }
}

} // namespace

BENCHMARK(addedLatency)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(memoryPerConnection)->Arg(800)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
