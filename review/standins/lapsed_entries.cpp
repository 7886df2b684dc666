/** Case: entries of servers lapse while the store is away; after a second, short outage all machines refuse all requests. */
#include "lab.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace lab;

namespace {

constexpr int machineCount = 6;
constexpr int serverCount = 12;
constexpr int clientCount = 12;
constexpr int workMilliseconds = 100;
constexpr int beatMilliseconds = 1500;
constexpr int silenceMilliseconds = 3 * beatMilliseconds; ///< an entry is removed after three heartbeat intervals of silence
constexpr int recoveryMilliseconds = 15000; ///< recovery-s
constexpr int lapseOutageMilliseconds = 5000;
constexpr int shortOutageMilliseconds = 500;

/** A server with its beats. */
struct Registered {
    std::unique_ptr<Server> server;
    int sequence = 0;
    double nextBeat = 0;
    double lastBeat = 0;
    bool listed = false;
};

struct Shared {
    explicit Shared(const std::string &recordPath)
        : record(recordPath)
    {
    }

    Record record;
    std::atomic<bool> stop{false};
    std::atomic<double> judgedFrom{1e12}; ///< requests sent later count for RECOVER
    std::atomic<double> finalFault{1e12};
    std::atomic<int> before{0}, servedBefore{0}, after{0}, servedAfter{0};
};

/** Beats: an entry is written when it is new or has lapsed; only seq-no changes otherwise, which changes no record. */
void beats(Shared &shared, Store &store, std::vector<Registered> &servers)
{
    while (!shared.stop) {
        for (Registered &registered : servers) {
            const bool away = store.away();
            if (now() >= registered.nextBeat) {
                registered.nextBeat += beatMilliseconds;
                ++registered.sequence;
                if (!away) {
                    registered.lastBeat = now();
                    if (!registered.listed) {
                        registered.listed = true;
                        store.put("keyed.servers",
                                  registered.server->id(),
                                  registered.server->entry("pedidos", "zone-a", registered.sequence, "ready"));
                        shared.record.line("the store accepts the entry of " + registered.server->id() + ", ready, seq-no "
                                           + std::to_string(registered.sequence));
                    }
                }
            }
            if (registered.listed && now() - registered.lastBeat >= silenceMilliseconds) {
                registered.listed = false;
                store.put("keyed.servers", registered.server->id(), "");
                shared.record.line("the entry of " + registered.server->id() + " has lapsed" + (away ? " while the store is away" : ""));
            }
        }
        sleepFor(5);
    }
}

void client(Shared &shared, const std::vector<std::unique_ptr<Machine>> &machines, int number)
{
    unsigned draw = static_cast<unsigned>(number) * 7919 + 17;
    for (int count = 0; !shared.stop; ++count) {
        draw = draw * 1103515245 + 12345;
        const Machine &machine = *machines[(draw >> 16) % machines.size()];
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(count);
        const double sent = now();
        int status = 0;
        if (const auto connection = connectTo(machine.ip(), machine.front())) {
            Message answer;
            if (connection->write(request("POST", "/pedidos/nuevo", id, 4000, "pedido")) && connection->read(answer, 4000)) {
                status = answer.status();
            }
        }
        const bool served = status == 200;
        if (sent < shared.finalFault) {
            ++shared.before;
            shared.servedBefore += served ? 1 : 0;
        } else if (sent > shared.judgedFrom && !shared.stop) {
            ++shared.after;
            shared.servedAfter += served ? 1 : 0;
        }
        shared.record.line("order " + id + " to " + machine.ip() + ": "
                           + (status == 0 ? std::string("no answer") : "answered " + std::to_string(status)));
        sleepFor(100);
    }
}

int play(const std::string &recordPath)
{
    Shared shared(recordPath);
    const TemporaryFolder folder;
    const std::string network = ownNetwork();
    const int port = freePorts(network);
    if (port == 0) {
        return couldNotRun;
    }
    Store store(network + ".9.1");
    store.put("keyed.op", "config", configuration(7, {{"/pedidos/", "unsafe", "pedidos", 3000}}));
    std::vector<Registered> servers(serverCount);
    for (int index = 0; index < serverCount; ++index) {
        Registered &registered = servers[static_cast<std::size_t>(index)];
        registered.server =
            std::make_unique<Server>("i-" + std::to_string(index), network + ".8.1", workMilliseconds, [&shared](const Message &call) {
                shared.record.line("a server runs " + call.header("X-Jackdawdoor-Request-Id"));
            });
        registered.nextBeat = now() + index * beatMilliseconds / serverCount;
    }
    std::thread beating([&] {
        beats(shared, store, servers);
    });
    sleepFor(beatMilliseconds + 100);
    std::vector<std::unique_ptr<Machine>> machines;
    bool ready = true;
    for (int number = 1; number <= machineCount; ++number) {
        machines.push_back(std::make_unique<Machine>(number, port, network, store, folder.path(), std::vector<int>{1, 2, 3}));
        ready = machines.back()->start() && ready;
    }
    for (const auto &machine : machines) {
        ready = ready && machine->waitReady();
    }
    std::vector<std::thread> clients;
    if (ready) {
        shared.record.line("all machines are ready; traffic starts");
        for (int number = 0; number < clientCount; ++number) {
            clients.emplace_back([&, number] {
                client(shared, machines, number);
            });
        }
        sleepFor(5000);
        shared.finalFault = now();
        if (trouble()) {
            shared.record.line("final fault: all processes are killed");
            for (const auto &machine : machines) {
                machine->signal(SIGKILL);
            }
            sleepFor(900);
            for (const auto &machine : machines) {
                ready = machine->ended() && machine->start() && ready;
            }
            for (const auto &machine : machines) {
                ready = ready && machine->waitReady();
            }
        }
        shared.record.line("the machines are back");
        const double back = now();
        shared.judgedFrom = back + recoveryMilliseconds;
        const auto outage = [&](double at, int length, const char *name) {
            sleepFor(static_cast<int>(back + at - now()));
            if (trouble()) {
                shared.record.line(std::string("the store is away (") + name + ")");
                store.setAway(true);
            }
            sleepFor(length);
            if (trouble()) {
                store.setAway(false);
                shared.record.line("the store is back");
            }
        };
        outage(3000, lapseOutageMilliseconds, "5 s, entries lapse");
        outage(10500, shortOutageMilliseconds, "0.5 s");
        sleepFor(static_cast<int>(shared.judgedFrom - now()) + 8000);
    }
    shared.stop = true;
    for (std::thread &running : clients) {
        running.join();
    }
    beating.join();
    const int before = shared.before;
    const int after = shared.after;
    shared.record.line("before the final fault " + std::to_string(shared.servedBefore.load()) + " of " + std::to_string(before)
                       + " orders were served; of those sent later than 15 s after the machines were back "
                       + std::to_string(shared.servedAfter.load()) + " of " + std::to_string(after));
    if (!ready || before < 50 || after < 50 || shared.servedBefore * 4 < before) {
        return couldNotRun;
    }
    const bool isBroken = shared.servedAfter * 4 < after;
    shared.record.line(isBroken ? "RECOVER is broken" : "RECOVER is kept");
    return isBroken ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    const int result = argc > 1 ? play(argv[1]) : couldNotRun;
    std::fflush(nullptr);
    std::_Exit(result);
}
