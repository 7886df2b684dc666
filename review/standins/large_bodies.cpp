/** Case: users who upload at once, within max-body-bytes, take a machine over memory-mb, and its other requests are lost. */
#include "lab.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <set>

using namespace lab;

namespace {

constexpr int machineCount = 2;
constexpr int serverCount = 8;
constexpr double memoryLimit = 260 * 1.048576; ///< MB, for memory-mb = 260 read as MiB
/** Users of each machine: as usual, and in a burst of 1.67 times as many (the site's largest is 1.7). */
constexpr int usualUploaders = 3;
constexpr int usualOrderers = 6;
constexpr int burstUploaders = 5;
constexpr int burstOrderers = 10;
constexpr std::size_t uploadBytes = 20000000; ///< of 67108864 that the configuration allows
constexpr std::size_t orderBytes = 4000;
constexpr int workMilliseconds = 460;
constexpr int waves = 4; ///< of uploads; the burst is the third
constexpr int wavePeriodMilliseconds = 4500;
constexpr int usualGapMilliseconds = 1500; ///< between two uploads to a machine; in a burst they come at once
constexpr int bearableLosses = 3; ///< LOST: "more than three times"

struct Shared {
    explicit Shared(const std::string &recordPath)
        : record(recordPath)
    {
    }

    Record record;
    std::mutex mutex;
    std::set<std::string> ran; ///< requests that a server has begun to run
    std::vector<std::pair<int, std::string>> cut; ///< machine and request on a kept connection that ended without an answer
    std::atomic<int> answered{0};
    std::atomic<int> kills{0};
    std::atomic<bool> stop{false};
};

/** Sends orders on a kept connection, one after the other. */
void orderer(Shared &shared, const Machine &machine, int machineNumber, const std::string &name, double from, double until)
{
    while (now() < from) {
        sleepFor(20);
    }
    int number = 0;
    while (now() < until && !shared.stop) {
        const auto connection = connectTo(machine.ip(), machine.front());
        if (!connection) {
            sleepFor(200);
            continue;
        }
        for (int onConnection = 0; now() < until && !shared.stop; ++onConnection) {
            const std::string id = name + "-" + std::to_string(number++);
            const std::string body(orderBytes, 'o');
            Message answer;
            shared.record.line("order " + id + " sent on a " + (onConnection > 0 ? "kept" : "new") + " connection to machine "
                               + std::to_string(machineNumber));
            const bool sent = connection->write(request("POST", "/pedidos/nuevo", id, 10000, body));
            if (!sent || !connection->read(answer, 10000)) {
                const std::lock_guard lock(shared.mutex);
                if (onConnection > 0) {
                    shared.cut.emplace_back(machineNumber, id);
                }
                shared.record.line("order " + id + ": the connection ended without an answer");
                break;
            }
            ++shared.answered;
            shared.record.line("order " + id + " answered " + std::to_string(answer.status()));
            if (answer.header("Connection") == "close") {
                break;
            }
            sleepFor(20);
        }
    }
}

void uploader(Shared &shared, const Machine &machine, int machineNumber, int user, double start)
{
    const std::string body(uploadBytes, 'u');
    const std::string name = "u" + std::to_string(machineNumber) + "." + std::to_string(user);
    for (int wave = 0; wave < waves; ++wave) {
        const bool inBurst = trouble() && wave == 2;
        if (user >= usualUploaders && !inBurst) {
            continue;
        }
        const double at = start + wave * wavePeriodMilliseconds + (inBurst ? 0 : user * usualGapMilliseconds);
        while (now() < at) {
            sleepFor(2);
        }
        const std::string id = name + "-" + std::to_string(wave);
        shared.record.line("upload " + id + " of " + std::to_string(uploadBytes) + " bytes sent to machine "
                           + std::to_string(machineNumber));
        Message answer;
        const auto connection = connectTo(machine.ip(), machine.front());
        const bool answered =
            connection && connection->write(request("POST", "/subidas/factura", id, 10000, body)) && connection->read(answer, 10000);
        shared.record.line(
            "upload " + id + " to machine " + std::to_string(machineNumber) + ": "
            + (answered ? "answered " + std::to_string(answer.status()) : std::string("the connection ended without an answer")));
    }
}

/** The platform: ends a process that exceeds memory-mb, and starts it again after a short delay. */
void platform(Shared &shared, Machine &machine, int machineNumber, double &most)
{
    while (!shared.stop) {
        const double memory = machine.memory();
        most = std::max(most, memory);
        if (memory > memoryLimit) {
            machine.signal(SIGKILL);
            ++shared.kills;
            shared.record.line("machine " + std::to_string(machineNumber) + " holds " + std::to_string(static_cast<int>(memory))
                               + " MB of anonymous memory, over memory-mb = 260: the platform kills it");
            sleepFor(500);
            if (machine.ended() && !shared.stop) {
                machine.start();
            }
        }
        sleepFor(2);
    }
}

int play(const std::string &recordPath)
{
    Shared shared(recordPath);
    const bool burst = trouble();
    const TemporaryFolder folder;
    const std::string network = ownNetwork();
    const int port = freePorts(network);
    if (port == 0) {
        return couldNotRun;
    }
    Store store(network + ".9.1");
    store.put("keyed.op", "config", configuration(7, {{"/pedidos/", "unsafe", "pedidos", 5000}, {"/subidas/", "unsafe", "subidas", 8000}}));
    std::vector<std::unique_ptr<Server>> servers;
    for (int index = 0; index < serverCount; ++index) {
        const std::string service = index % 2 == 0 ? "pedidos" : "subidas";
        servers.push_back(
            std::make_unique<Server>("i-" + std::to_string(index), network + ".8.1", workMilliseconds, [&shared](const Message &call) {
                const std::string id = call.header("X-Jackdawdoor-Request-Id");
                shared.record.line("a server runs " + id);
                const std::lock_guard lock(shared.mutex);
                shared.ran.insert(id);
            }));
        store.put("keyed.servers", servers.back()->id(), servers.back()->entry(service, "zone-a", 1, "ready"));
    }
    std::vector<std::unique_ptr<Machine>> machines;
    for (int number = 1; number <= machineCount; ++number) {
        machines.push_back(std::make_unique<Machine>(number, port, network, store, folder.path(), std::vector<int>{1, 2}));
        if (!machines.back()->start()) {
            return couldNotRun;
        }
    }
    for (const auto &machine : machines) {
        if (!machine->waitReady()) {
            return couldNotRun;
        }
    }
    sleepFor(2000);
    shared.record.line(burst ? "two machines are ready; the burst comes with the third uploads"
                             : "two machines are ready; no burst (TROUBLE=0)");
    const double start = now() + 3000;
    const double until = start + waves * wavePeriodMilliseconds;
    std::vector<std::thread> threads;
    std::vector<double> most(machineCount, 0);
    for (int number = 1; number <= machineCount; ++number) {
        Machine &machine = *machines[static_cast<std::size_t>(number - 1)];
        double &peak = most[static_cast<std::size_t>(number - 1)];
        threads.emplace_back([&shared, &machine, number, &peak] {
            platform(shared, machine, number, peak);
        });
    }
    std::vector<std::thread> users;
    for (int number = 1; number <= machineCount; ++number) {
        const Machine &machine = *machines[static_cast<std::size_t>(number - 1)];
        for (int user = 0; user < (burst ? burstOrderers : usualOrderers); ++user) {
            const double from = user < usualOrderers ? start - 2500 : start + 2 * wavePeriodMilliseconds - 500;
            users.emplace_back([&shared, &machine, number, user, from, until] {
                orderer(shared, machine, number, "o" + std::to_string(number) + "." + std::to_string(user), from, until);
            });
        }
        for (int user = 0; user < (burst ? burstUploaders : usualUploaders); ++user) {
            users.emplace_back([&shared, &machine, number, user, start] {
                uploader(shared, machine, number, user, start);
            });
        }
    }
    for (std::thread &user : users) {
        user.join();
    }
    shared.stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::vector<int> lost(machineCount, 0);
    for (const auto &[machine, id] : shared.cut) {
        if (shared.ran.contains(id)) {
            ++lost[static_cast<std::size_t>(machine - 1)];
        }
    }
    bool isBroken = false;
    for (int index = 0; index < machineCount; ++index) {
        const auto at = static_cast<std::size_t>(index);
        isBroken = isBroken || lost[at] > bearableLosses;
        shared.record.line("machine " + std::to_string(index + 1) + ": at most " + std::to_string(static_cast<int>(most[at])) + " MB; "
                           + std::to_string(lost[at])
                           + " orders on kept connections ran at a sound server and got no answer (LOST: more than "
                           + std::to_string(bearableLosses) + ")");
    }
    shared.record.line(std::to_string(shared.answered.load())
                       + " orders answered; processes ended for memory: " + std::to_string(shared.kills.load()));
    shared.record.line(isBroken ? "LOST is broken" : "LOST is kept");
    if (shared.answered < 50) {
        return couldNotRun;
    }
    return isBroken ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    const int result = argc > 1 ? play(argv[1]) : couldNotRun;
    std::fflush(nullptr);
    std::_Exit(result);
}
