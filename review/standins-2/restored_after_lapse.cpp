// All processes are killed and come back; then the store is away, and soon after its return it is restored from a copy.
#include "lab2.h"

#include <csignal>
#include <cstdlib>

#include <sys/socket.h>
#include <unistd.h>

using namespace lab2;

namespace {

constexpr const char *host = "abonos.example";
constexpr int machineCount = 3;
constexpr int targetCount = 12;
constexpr long workMs = 100;
constexpr long deadlineMs = 4000;
constexpr long recoveryMs = 15000;
constexpr long heartbeatMs = 1500;
/** An entry that expired while the store was away is back this long after its return: within about two seconds. */
constexpr long firstReturnMs = 1100;
constexpr long returnStepMs = 70;
constexpr long outageMs = 5000;
constexpr long gapMs = 1000;
constexpr long drillMs = 500;

struct Count {
    int asked = 0;
    int served = 0;
};

/** Writes the target's entry again when the store is there and lacks it. While it lists the target, a report would change
 * seq-no only, and the entry does not change. */
void keepListed(Record &record, Store &store, const Target &target, long returnMs, std::atomic<bool> &stop)
{
    long returnedAt = 0;
    int sequence = 1;
    for (long number = 1; !stop; ++number) {
        sleepMs(10);
        sequence += number % (heartbeatMs / 10) == 0 ? 1 : 0;
        if (store.away()) {
            returnedAt = nowMs();
        } else if (!store.lists(target.id()) && nowMs() - returnedAt >= returnMs) {
            store.put("keyed.servers", target.id(), target.entry(sequence));
            record.line(target.id() + " writes its entry again, seq-no " + std::to_string(sequence));
        }
    }
}

/** Sends a request on a connection of its own. */
bool served(const Machine &machine, const std::string &id)
{
    const int socket = connectTo(machine.ip(), machine.front());
    if (socket < 0) {
        return false;
    }
    const timeval patience{deadlineMs / 1000, 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    sendAll(socket, requestHead("GET", "/ver/" + id, host, id, deadlineMs));
    const auto answered = Reader(socket).next(true);
    close(socket);
    return answered && answered->firstLine.find(" 200 ") != std::string::npos;
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Folder folder;
    Store store;
    std::vector<std::unique_ptr<Target>> targets;
    for (int index = 0; index < targetCount; ++index) {
        targets.push_back(std::make_unique<Target>(record, "i-" + std::to_string(index), "svc-abonos", workMs, [](const std::string &) {
            return std::size_t{1500};
        }));
        store.put("keyed.servers", targets.back()->id(), targets.back()->entry());
    }
    store.put(
        "keyed.op", "config", configuration("00000001", host, {rule("r-1", "safe", "/ver/", "svc-abonos", deadlineMs)}, {"svc-abonos"}));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int index = 0; index < machineCount; ++index) {
        machines.push_back(std::make_unique<Machine>(
            record, folder.path(), "edge-" + std::to_string(index), "127.0.0." + std::to_string(index + 1), store.endpoint()));
        machines.back()->start();
    }
    for (const auto &machine : machines) {
        if (!machine->waitUntilReady(10000)) {
            return couldNotRun;
        }
    }
    sleepMs(4000);
    std::atomic<bool> stop{false};
    std::atomic<long> backAt{-1};
    std::mutex mutex;
    Count before;
    Count late;
    std::vector<std::thread> clients;
    for (int index = 0; index < 2 * machineCount; ++index) {
        clients.emplace_back([&, index] {
            for (int number = 0; !stop; ++number) {
                const long sentAt = nowMs();
                const bool ok = served(*machines[static_cast<std::size_t>(index) % machines.size()],
                                       "q" + std::to_string(index) + "-" + std::to_string(number));
                const long back = backAt;
                {
                    const std::lock_guard lock(mutex);
                    Count *count = back < 0 ? &before : sentAt > back + recoveryMs ? &late : nullptr;
                    if (count != nullptr) {
                        ++count->asked;
                        count->served += ok ? 1 : 0;
                    }
                }
                sleepMs(150);
            }
        });
    }
    std::vector<std::thread> beats;
    for (int index = 0; index < targetCount; ++index) {
        beats.emplace_back([&, index] {
            keepListed(record, store, *targets[static_cast<std::size_t>(index)], firstReturnMs + index * returnStepMs, stop);
        });
    }
    sleepMs(4000);
    record.line("final fault: all processes are killed");
    for (const auto &machine : machines) {
        machine->signalProcess(SIGKILL);
        machine->waitForEnd(2000);
    }
    backAt = nowMs();
    for (const auto &machine : machines) {
        machine->start();
    }
    for (const auto &machine : machines) {
        if (!machine->waitUntilReady(10000)) {
            return couldNotRun;
        }
    }
    backAt = nowMs();
    record.line("the machines are back");
    sleepMs(2000);
    const Store::Copy copy = store.copy();
    // OUTAGE=1: the outage alone, without the copy.
    const bool outage = withTrouble() || std::getenv("OUTAGE") != nullptr;
    if (outage) {
        record.line("the store is away for " + std::to_string(outageMs)
                    + " ms; three heartbeat intervals pass, and the entries of the targets expire");
        store.setAway(true);
        sleepMs(outageMs);
        store.lapseTargets();
        store.setAway(false);
        record.line("the store is back");
    }
    if (withTrouble()) {
        sleepMs(gapMs);
        store.setAway(true);
        sleepMs(drillMs);
        store.restore(copy);
        store.setAway(false);
        record.line("drill: the store was away for " + std::to_string(drillMs) + " ms more and is back from a copy of before the outage");
    }
    sleepMs(3000);
    int listed = 0;
    for (const auto &target : targets) {
        listed += store.lists(target->id()) ? 1 : 0;
    }
    record.line("the store lists " + std::to_string(listed) + " of " + std::to_string(targetCount) + " targets as ready; all of them run");
    sleepMs(backAt + recoveryMs + 8000 - nowMs());
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    for (std::thread &beat : beats) {
        beat.join();
    }
    record.line("before the final fault: " + std::to_string(before.served) + " of " + std::to_string(before.asked) + " requests served");
    record.line("later than recovery-s after the machines were back: " + std::to_string(late.served) + " of " + std::to_string(late.asked)
                + " requests served");
    if (before.asked == 0 || late.asked == 0 || 4 * before.served < before.asked) {
        return couldNotRun;
    }
    return 4 * late.served < late.asked ? ruleBroken : ruleHeld;
}
