#include "standins/announcingfleet.h"

#include "net/eventloop.h"
#include "standins/rawclient.h"

#include <cstdio>
#include <cstdlib>
#include <thread>

namespace jackdawdoor::standins {

namespace {

constexpr Duration discoveryTimeout = std::chrono::seconds{5};
constexpr Duration requestPeriod = std::chrono::milliseconds{25};
/** A refusal that takes longer has waited for something. */
constexpr Duration promptRefusal = std::chrono::milliseconds{500};
constexpr std::int64_t firstBirth = 1000;
const std::string upstreamTopic = "keyed.servers";

std::string idOf(std::size_t upstream)
{
    return "u" + std::to_string(upstream);
}

void require(bool reached, const char *what)
{
    if (!reached) {
        std::fprintf(stderr, "the fleet of the test does not come up: %s\n", what);
        std::abort();
    }
}

} // namespace

AnnouncingUpstream::AnnouncingUpstream(Duration answerTime)
    : m_answerTime(answerTime)
    , m_server([this](const ReceivedRequest &request) {
        return answer(request);
    })
{
}

std::string AnnouncingUpstream::address() const
{
    return m_server.address();
}

void AnnouncingUpstream::announce(const std::string &headerLine)
{
    const std::lock_guard lock(m_mutex);
    m_headerLine = headerLine;
}

void AnnouncingUpstream::reject(const std::string &retryAfter)
{
    const std::lock_guard lock(m_mutex);
    m_retryAfter = retryAfter;
}

void AnnouncingUpstream::setAnswerTime(Duration answerTime)
{
    const std::lock_guard lock(m_mutex);
    m_answerTime = answerTime;
}

int AnnouncingUpstream::arrivals()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_arrivals.size());
}

std::vector<TimePoint> AnnouncingUpstream::arrivalTimes()
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

int AnnouncingUpstream::announcements()
{
    const std::lock_guard lock(m_mutex);
    return m_announcements;
}

ScriptedReply AnnouncingUpstream::answer(const ReceivedRequest &request)
{
    const std::lock_guard lock(m_mutex);
    m_arrivals.push_back(net::now());
    ScriptedReply reply;
    if (!m_retryAfter.empty()) {
        reply.bytes = "HTTP/1.1 503 X\r\nX-Jackdawdoor-Not-Executed: 1\r\nRetry-After: " + m_retryAfter + "\r\nContent-Length: 0\r\n\r\n";
    } else {
        reply.bytes = ScriptedUpstream::answerTo(request, 200, "ok");
        reply.delay = m_answerTime;
    }
    if (!m_headerLine.empty()) {
        reply.bytes.insert(reply.bytes.find("\r\n"), "\r\n" + m_headerLine);
        ++m_announcements;
    }
    return reply;
}

AnnouncingFleet::AnnouncingFleet(const std::vector<AnnouncingUpstream *> &upstreams, const AnnouncingFleetOptions &options)
    : m_upstreams(upstreams)
    , m_births(upstreams.size(), firstBirth)
{
    putConfiguration(m_store, 1);
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        writeEntry(index);
    }
    for (int number = 1; number <= options.instances; ++number) {
        m_instances.push_back(std::make_unique<ProxyInstance>(m_store, ProxyInstanceOptions{"edge-" + std::to_string(number)}));
    }
    for (const auto &instance : m_instances) {
        require(instance->waitForVersion(1), "no configuration");
        require(instance->waitForInstances(m_instances.size(), discoveryTimeout), "instances do not find each other");
    }
    waitForUpstreams(upstreams.size());
}

PlatformStore &AnnouncingFleet::store()
{
    return m_store;
}

void AnnouncingFleet::writeEntry(std::size_t upstream)
{
    putUpstream(m_store, idOf(upstream), m_upstreams[upstream]->address(), m_sequence++, "ready", m_births[upstream]);
}

void AnnouncingFleet::restartUpstream(std::size_t upstream)
{
    ++m_births[upstream];
    writeEntry(upstream);
}

void AnnouncingFleet::removeEntry(std::size_t upstream)
{
    m_store.put(upstreamTopic, idOf(upstream), "");
}

void AnnouncingFleet::waitForUpstreams(std::size_t count)
{
    for (const auto &instance : m_instances) {
        require(instance->waitForUpstreams(count), "the upstreams are not known");
    }
}

void AnnouncingFleet::load(Duration time, const std::string &method, const std::string &path)
{
    std::vector<std::thread> callers;
    for (const TimePoint end = net::now() + time; net::now() < end;) {
        callers.emplace_back([this, method, path, number = ++m_sent] {
            RawClient client(m_instances[number % m_instances.size()]->callersPort());
            const TimePoint sent = net::now();
            client.send(callerRequest(method, path, "id-" + std::to_string(number), method == "POST" ? "x" : ""));
            record(client.receiveAnswer(), net::now() - sent);
        });
        std::this_thread::sleep_for(requestPeriod);
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
}

std::string AnnouncingFleet::send(const std::string &method, const std::string &path)
{
    RawClient client(m_instances.front()->callersPort());
    client.send(callerRequest(method, path, "id-" + std::to_string(++m_sent), ""));
    return client.receiveAnswer();
}

void AnnouncingFleet::record(const std::string &answer, Duration took)
{
    if (answer.starts_with("HTTP/1.1 200")) {
        ++m_served;
    } else if (answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After") != std::string::npos && took < promptRefusal) {
        ++m_refused;
    } else {
        ++m_badAnswers;
    }
}

int AnnouncingFleet::served() const
{
    return m_served;
}

int AnnouncingFleet::refused() const
{
    return m_refused;
}

int AnnouncingFleet::badAnswers() const
{
    return m_badAnswers;
}

double retryAfterSeconds(const std::string &answer)
{
    const std::string header = "Retry-After: ";
    const std::size_t position = answer.find(header);
    return position == std::string::npos ? 0 : std::strtod(answer.c_str() + position + header.size(), nullptr);
}

} // namespace jackdawdoor::standins
