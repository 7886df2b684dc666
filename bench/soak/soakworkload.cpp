#include "soak/soakworkload.h"

#include "net/eventloop.h"
#include "net/httpmessage.h"
#include "standins/rawclient.h"

#include <cstdlib>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace jackdawdoor::soak {

using standins::RawClient;

namespace {

constexpr int callersPerInstance = 3;
constexpr int timeoutMilliseconds = 4000;

/** Receive buffer of a slow reader; most of a long answer waits at its sender. */
constexpr int narrowWindow = 2304;

/** Opens a connection; nullptr while the instance is unreachable. */
std::unique_ptr<RawClient> connectTo(const InstanceAddress &address, int receiveBufferBytes = 0)
{
    try {
        return std::make_unique<RawClient>(address.callersPort, timeoutMilliseconds, address.host, receiveBufferBytes);
    } catch (const std::runtime_error &) {
        return nullptr; // expected during faults; the caller retries
    }
}

/** Status used when no complete response head was received. */
constexpr int noAnswer = 0;

/** Status code of a complete response, or noAnswer. */
int statusOf(const std::string &answer)
{
    constexpr std::size_t statusPosition = 9; // after "HTTP/1.1 "
    constexpr std::string_view lengthName = "Content-Length: ";
    const std::size_t headEnd = answer.find("\r\n\r\n");
    if (answer.size() <= statusPosition || headEnd == std::string::npos) {
        return noAnswer;
    }
    const std::size_t length = answer.find(lengthName);
    const bool hasLength = length < headEnd;
    const long expected = hasLength ? std::atol(answer.c_str() + length + lengthName.size()) : 0;
    const bool whole = answer.size() - headEnd - 4 >= static_cast<std::size_t>(expected);
    return whole ? std::atoi(answer.c_str() + statusPosition) : noAnswer;
}

std::string request(const std::string &path, const std::string &id)
{
    return (path == "/once/" ? "POST " : "GET ") + path + " HTTP/1.1\r\nHost: h\r\nX-Jackdawdoor-Request-Id: " + id
           + "\r\nX-Jackdawdoor-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

SoakWorkload::SoakWorkload(SoakFleet &fleet, SoakLedger &ledger, std::uint64_t seed)
    : m_fleet(fleet)
    , m_ledger(ledger)
{
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        for (int caller = 0; caller < callersPerInstance; ++caller) {
            const std::string name = "c" + std::to_string(instance) + "-" + std::to_string(caller);
            m_threads.emplace_back([this, instance, name, random = RandomSource(seed * 1000 + m_threads.size())] {
                callInstance(instance, random, name);
            });
        }
        m_threads.emplace_back([this, instance, random = RandomSource(seed * 1000 + m_threads.size())] {
            readSlowly(instance, random, "s" + std::to_string(instance));
        });
        m_threads.emplace_back([this, instance] {
            watchVersions(instance);
        });
    }
}

SoakWorkload::~SoakWorkload()
{
    m_ending = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void SoakWorkload::callInstance(std::size_t instance, RandomSource random, const std::string &name)
{
    std::unique_ptr<RawClient> client;
    for (int number = 0; !m_ending; ++number) {
        if (!client) {
            client = connectTo(m_fleet.address(instance));
        }
        if (!client) {
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            continue;
        }
        const std::string path = random() % 2 == 0 ? "/safe/" : "/once/";
        const Sent sent = send(*client, instance, path, name + "-" + std::to_string(number));
        if (!receive(*client, instance, sent)) {
            client.reset();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{5 + random() % 30});
    }
}

/** Sends a further request behind one whose answer it has not read, and reads late. The second one may be lost with its
 * connection when the answer before it announces the close. */
void SoakWorkload::readSlowly(std::size_t instance, RandomSource random, const std::string &name)
{
    std::unique_ptr<RawClient> client;
    for (int number = 0; !m_ending; number += 2) {
        if (!client) {
            client = connectTo(m_fleet.address(instance), narrowWindow);
        }
        if (!client) {
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            continue;
        }
        const Sent first = send(*client, instance, longAnswerPath, name + "-" + std::to_string(number));
        std::this_thread::sleep_for(std::chrono::milliseconds{100 + random() % 400});
        const Sent second = send(*client, instance, longAnswerPath, name + "-" + std::to_string(number + 1));
        std::this_thread::sleep_for(std::chrono::milliseconds{random() % 400});
        if (!receive(*client, instance, first) || !receive(*client, instance, second)) {
            client.reset();
        }
    }
}

SoakWorkload::Sent SoakWorkload::send(const RawClient &client, std::size_t instance, const std::string &path, const std::string &id)
{
    const bool stoppingBefore = m_fleet.stopping(instance);
    Sent sent{path, id, m_fleet.life(instance), stoppingBefore};
    m_ledger.send(id, {sent.life, net::now()});
    client.send(request(path, id));
    return sent;
}

/** Records the answer; false if the connection has ended or ends with it. */
bool SoakWorkload::receive(RawClient &client, std::size_t instance, const Sent &sent)
{
    const std::string answer = client.receiveAnswer();
    noteLeaving(sent.life, answer);
    const int status = statusOf(answer);
    const bool idempotent = sent.path != "/once/";
    if (status == noAnswer) {
        // An answer is guaranteed only if the planned stop was in progress throughout; the instance may have been killed since.
        m_ledger.cut(sent.id, idempotent, sent.stoppingBefore && m_fleet.life(instance) == sent.life);
        return false;
    }
    m_ledger.answer(sent.id, idempotent, status);
    const bool own = answer.ends_with("\r\n\r\n" + answerBody(sent.path, sent.id))
                     && answer.find("X-Jackdawdoor-Response-Signature") != std::string::npos;
    if (status == 200 && !own) {
        m_ledger.violate("MIXED: " + sent.id + " got another body: " + answer.substr(answer.find("\r\n\r\n")));
    }
    return answer.find("Connection: close") == std::string::npos;
}

void SoakWorkload::noteLeaving(const InstanceLife &life, const std::string &answer)
{
    const std::string head = answer.substr(0, answer.find("\r\n\r\n"));
    const std::string marker = "X-Soak-Upstream: ";
    const std::size_t position = head.find(marker);
    if (head.find("Server-Leaving: 1") == std::string::npos || position == std::string::npos) {
        return;
    }
    std::istringstream text(head.substr(position + marker.size()));
    UpstreamLife upstream;
    text >> upstream.upstream >> upstream.born;
    m_fleet.announcements().leavingPassedOn(net::now(), life, upstream);
}

void SoakWorkload::watchVersions(std::size_t instance)
{
    int highest = 0;
    int incarnation = m_fleet.incarnation(instance);
    while (!m_ending) {
        const InstanceAddress address = m_fleet.address(instance);
        const int newest = m_fleet.version();
        for (int version = newest; version > newest - 3 && version > 0; --version) {
            const int before = m_fleet.incarnation(instance);
            const auto client = connectTo(address);
            if (!client) {
                break;
            }
            client->send(request("/version-" + std::to_string(version) + "/", "v"));
            const int status = statusOf(client->receiveAnswer());
            const bool served = status == 200;
            if (before != incarnation) {
                incarnation = before;
                highest = 0;
            }
            if (served && before == m_fleet.incarnation(instance)) {
                if (version < highest) {
                    m_ledger.violate("CONFIG: instance " + std::to_string(instance) + " served version " + std::to_string(version)
                                     + " after version " + std::to_string(highest));
                }
                highest = std::max(highest, version);
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
}

namespace {

/** After the faults, each instance serves the route of the newest configuration. */
void checkNewestVersion(const SoakFleet &fleet, SoakLedger &ledger, std::size_t instance)
{
    const int version = fleet.version();
    const auto client = connectTo(fleet.address(instance));
    if (client) {
        client->send(request("/version-" + std::to_string(version) + "/", "v"));
    }
    const int status = client ? statusOf(client->receiveAnswer()) : noAnswer;
    constexpr int notFound = 404;
    if (status == notFound) {
        ledger.violate("CONFIG: instance " + std::to_string(instance) + " does not know version " + std::to_string(version)
                       + " after the faults");
    }
}

} // namespace

RecoveryCount countRecovery(const SoakFleet &fleet, SoakLedger &ledger)
{
    constexpr int requestsPerInstance = 20;
    RecoveryCount count;
    for (std::size_t instance = 0; instance < fleet.size(); ++instance) {
        const InstanceAddress address = fleet.address(instance);
        for (int number = 0; number < requestsPerInstance; ++number) {
            const std::string id = "r" + std::to_string(instance) + "-" + std::to_string(number);
            const auto client = connectTo(address);
            if (client) {
                client->send(request("/safe/", id));
            }
            const int status = client ? statusOf(client->receiveAnswer()) : noAnswer;
            ledger.answer(id, true, status);
            ++count.asked;
            count.answered += status == 200 ? 1 : 0;
        }
        checkNewestVersion(fleet, ledger, instance);
    }
    return count;
}

} // namespace jackdawdoor::soak
