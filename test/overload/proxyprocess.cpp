#include "overload/proxyprocess.h"

#include "net/eventloop.h"
#include "overload/adjacentports.h"
#include "platform/names.h"
#include "standins/proxyinstance.h"
#include "standins/rawclient.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace jackdawdoor::overload {

using standins::ReceivedRequest;
using standins::ScriptedReply;
using standins::ScriptedUpstream;

namespace {

/** With six slots each, the upstreams can hold every request of the largest crowd of requests. */
constexpr int upstreamCount = 12;
constexpr int portsPerProcess = 5;
constexpr std::size_t usualUploadBytes = std::size_t{60} * 1024;
constexpr std::size_t mediumAnswerBytes = std::size_t{600} * 1024;
/** Long enough for a crowd to arrive meanwhile. */
constexpr Duration slowAnswerDelay = std::chrono::seconds{4};
constexpr Duration startTimeout = std::chrono::seconds{10};
constexpr Duration serviceTimeout = std::chrono::seconds{20};
/** Generous, so that the verdict does not depend on the speed of the machine. */
constexpr int ordinaryDeadlineMilliseconds = 20000;
constexpr Duration retryPeriod = std::chrono::milliseconds{200};
/** Without growth for this long, the process is taken to have read all that it will read. */
constexpr Duration settleTime = std::chrono::seconds{1};
constexpr Duration samplePeriod = std::chrono::milliseconds{2};

std::string pathOf(const ReceivedRequest &request)
{
    const std::size_t begin = request.head.find(' ') + 1;
    return request.head.substr(begin, request.head.find(' ', begin) - begin);
}

ScriptedReply answer(const ReceivedRequest &request)
{
    std::size_t size = 16;
    if (pathOf(request).ends_with("large")) {
        size = 8 * megabyte;
    } else if (pathOf(request).ends_with("medium")) {
        size = mediumAnswerBytes;
    }
    ScriptedReply reply{ScriptedUpstream::answerTo(request, 200, std::string(size, 'a'))};
    reply.delay = pathOf(request).ends_with("slow") ? slowAnswerDelay : Duration::zero();
    return reply;
}

nlohmann::json rule(const char *name, const char *kind, const char *prefix)
{
    return {{"name", name},
            {"route-type", kind},
            {"slo-latency-ms", 5000},
            {"match", {{"path-prefix", prefix}}},
            {"action", {{"service", "svc"}, {"timeout-ms", 20000}, {"max-attempts", 3}}}};
}

/** Status of the answer to a request on a connection of its own; zero when none arrives. */
int statusOf(int port, const std::string &request)
{
    try {
        standins::RawClient client(port);
        client.send(request);
        const std::string answered = client.receiveAnswer();
        constexpr std::size_t statusBegin = 9; // after "HTTP/1.1 "
        return answered.size() > statusBegin ? std::atoi(answered.c_str() + statusBegin) : 0;
    } catch (const std::runtime_error &) {
        return 0; // not listening yet, or refused
    }
}

} // namespace

ProxyProcess::ProxyProcess(Unstarted /*tag*/)
{
}

ProxyProcess::ProxyProcess(const ProcessLimits &limits)
    : ProxyProcess(Unstarted{}) // so that the destructor runs if the start fails
{
    for (int index = 0; index < upstreamCount; ++index) {
        m_upstreams.push_back(std::make_unique<ScriptedUpstream>(answer));
        standins::putUpstream(m_store, "u" + std::to_string(index), m_upstreams.back()->address(), 1);
    }
    putConfiguration(limits.maximumBodyBytes);
    char folder[] = "/tmp/jackdawdoor-overload-XXXXXX";
    m_folder = mkdtemp(folder);
    const int basePort = freeAdjacentPorts(portsPerProcess);
    m_callersPort = basePort;
    writeSettings(limits, basePort);
    start();
    m_sampler = std::thread([this] {
        while (!m_stopping) {
            m_peakDescriptors = std::max(m_peakDescriptors.load(), countDescriptors());
            std::this_thread::sleep_for(samplePeriod);
        }
    });
    waitUntilServing(basePort + 1);
}

ProxyProcess::~ProxyProcess()
{
    m_stopping = true;
    if (m_sampler.joinable()) {
        m_sampler.join();
    }
    // Before the upstreams, whose threads may be sending to it.
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
    std::filesystem::remove_all(m_folder);
}

void ProxyProcess::writeSettings(const ProcessLimits &limits, int basePort) const
{
    const auto endpoint = [](int port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream file(m_folder + "/settings.toml");
    file << "node-name = \"i1\"\nzone = \"dc-1\"\nip = \"127.0.0.1\"\ninternal-ports = [" << basePort + 3 << "," << basePort + 4
         << "]\n[listen]\nfront = " << endpoint(basePort) << "ready = " << endpoint(basePort + 1)
         << "directory = " << endpoint(basePort + 2) << "[platform]\naddress = \"" << m_store.server().address()
         << "\"\n[limits]\nmemory-mb = " << limits.memoryMegabytes << "\nmax-fds = " << limits.descriptors << "\n";
}

void ProxyProcess::putConfiguration(std::size_t maximumBodyBytes)
{
    const nlohmann::json document{
        {"version", "00000001"},
        {"limits", {{"max-body-bytes", maximumBodyBytes}}},
        {"listeners", {{{"host", "h.example"}, {"rules", {rule("r1", "safe", "/safe/"), rule("r2", "unsafe", "/once/")}}}}},
        {"clusters", {{{"name", "svc"}, {"health-path", "/health"}, {"max-conns", 100}}}}};
    m_store.put(platform::names::operatorTopic, platform::names::configurationKey, document.dump());
}

void ProxyProcess::start()
{
    const std::string flag = "--settings=" + m_folder + "/settings.toml";
    const std::string logPath = m_folder + "/log";
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // the process must not outlive a test program that is stopped
        const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1); // sockets of the test would count as the process's own
        execl(JACKDAWDOOR_BINARY, JACKDAWDOOR_BINARY, "proxy", flag.c_str(), nullptr);
        _exit(127);
    }
    if (m_process < 0) {
        throw std::runtime_error("no process can be started");
    }
}

void ProxyProcess::waitUntilServing(int readinessPort) const
{
    const TimePoint end = net::now() + startTimeout;
    while (statusOf(readinessPort, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n") != 200) {
        if (net::now() > end) {
            std::ifstream log(m_folder + "/log");
            throw std::runtime_error("the process does not become ready: " + std::string(std::istreambuf_iterator<char>(log), {}));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    if (ordinaryRequest() != 200) {
        throw std::runtime_error("the process does not serve a request in calm");
    }
}

int ProxyProcess::callersPort() const
{
    return m_callersPort;
}

int ProxyProcess::directoryPort() const
{
    return m_callersPort + 2;
}

bool ProxyProcess::alive() const
{
    // WNOWAIT leaves an ended process to the destructor.
    siginfo_t info{};
    return waitid(P_PID, static_cast<id_t>(m_process), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == 0;
}

std::size_t ProxyProcess::memoryField(const std::string &name) const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name + ":")) {
            return std::strtoull(line.c_str() + name.size() + 1, nullptr, 10) * 1024;
        }
    }
    throw std::runtime_error("the process has ended"); // an ended process has no memory fields
}

std::size_t ProxyProcess::peakMemoryBytes() const
{
    return memoryField("VmHWM");
}

std::size_t ProxyProcess::residentMemoryBytes() const
{
    return memoryField("VmRSS");
}

int ProxyProcess::countDescriptors() const
{
    int count = 0;
    std::error_code ended;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(m_process) + "/fd", ended);
    while (!ended && entry != std::filesystem::directory_iterator{}) {
        ++count;
        entry.increment(ended);
    }
    return count;
}

int ProxyProcess::peakDescriptors() const
{
    return m_peakDescriptors;
}

void ProxyProcess::settle() const
{
    std::size_t peak = 0;
    TimePoint grown = net::now();
    while (alive() && net::now() < grown + settleTime) {
        if (const std::size_t present = peakMemoryBytes(); present > peak) {
            peak = present;
            grown = net::now();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
}

int ProxyProcess::ordinaryRequest() const
{
    const TimePoint end = net::now() + serviceTimeout;
    const std::string body(usualUploadBytes, 'o');
    int status = 0;
    for (int repeat = 0; alive() && net::now() < end; ++repeat) {
        const std::string id = "ordinary-" + std::to_string(repeat);
        status = statusOf(m_callersPort, standins::callerRequest("POST", "/safe/ordinary", id, body, ordinaryDeadlineMilliseconds));
        if (status != 0 && status != 503) {
            return status;
        }
        std::this_thread::sleep_for(retryPeriod);
    }
    return status;
}

std::size_t ProxyProcess::received(const std::string &pathEnd)
{
    std::size_t count = 0;
    for (const auto &upstream : m_upstreams) {
        for (const ReceivedRequest &request : upstream->requests()) {
            count += pathOf(request).ends_with(pathEnd) ? 1 : 0;
        }
    }
    return count;
}

} // namespace jackdawdoor::overload
