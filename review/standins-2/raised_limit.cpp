// Orders on kept connections after a configuration has raised the largest body.
#include "lab2.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace lab2;

namespace {

constexpr const char *host = "abonos.example";
constexpr int clients = 12;
constexpr long workMs = 100;
constexpr long deadlineMs = 10000;
constexpr std::size_t lowLimit = 1000000;
constexpr std::size_t highLimit = 67108864;
constexpr std::size_t bodyBytes = 2000000;

/** Status of the answer; zero when none came. */
int statusOf(int socket, const std::string &request)
{
    sendAll(socket, request);
    const auto answered = Reader(socket).next(true);
    return answered ? std::stoi(answered->firstLine.substr(9)) : 0;
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Folder folder;
    Store store;
    Target first(record, "i-1", "svc-abonos", workMs, [](const std::string &) {
        return std::size_t{1500};
    });
    Target second(record, "i-2", "svc-abonos", workMs, [](const std::string &) {
        return std::size_t{1500};
    });
    const std::vector<std::string> rules{rule("r-1", "unsafe", "/abono/", "svc-abonos", 5000)};
    // Without the disruption, the limit is high from the start.
    store.put("keyed.op", "config", configuration("00000001", host, rules, {"svc-abonos"}, withTrouble() ? lowLimit : highLimit));
    store.put("keyed.servers", first.id(), first.entry());
    store.put("keyed.servers", second.id(), second.entry());
    Machine machine(record, folder.path(), "edge-1", "127.0.0.1", store.endpoint());
    machine.start();
    if (!machine.waitUntilReady(10000)) {
        return couldNotRun;
    }
    sleepMs(2000);
    std::vector<int> sockets;
    for (int index = 0; index < clients; ++index) {
        sockets.push_back(connectTo(machine.ip(), machine.front()));
        const std::string id = "w" + std::to_string(index);
        if (statusOf(sockets.back(), requestHead("POST", "/abono/" + id, host, id, deadlineMs, 4) + "warm") != 200) {
            record.line("no answer before the test");
            return couldNotRun;
        }
    }
    record.line("each client has a kept connection with one answered order");
    store.put("keyed.op", "config", configuration("00000002", host, rules, {"svc-abonos"}, highLimit));
    record.line("the store acknowledges version 2, with max-body-bytes " + std::to_string(highLimit));
    sleepMs(5000);
    int refused = 0;
    for (int index = 0; index < clients; ++index) {
        const std::string id = "o" + std::to_string(index);
        const std::string order = requestHead("POST", "/abono/" + id, host, id, deadlineMs, bodyBytes) + std::string(bodyBytes, 'o');
        const int status = statusOf(sockets[static_cast<std::size_t>(index)], order);
        record.line(id + ", " + std::to_string(bodyBytes) + " bytes on a kept connection: " + std::to_string(status));
        refused += status >= 300 && status < 500 ? 1 : 0;
        close(sockets[static_cast<std::size_t>(index)]);
    }
    const int fresh = connectTo(machine.ip(), machine.front());
    const std::string order = requestHead("POST", "/abono/f0", host, "f0", deadlineMs, bodyBytes) + std::string(bodyBytes, 'o');
    record.line("f0, " + std::to_string(bodyBytes) + " bytes on a new connection: " + std::to_string(statusOf(fresh, order)));
    close(fresh);
    record.line("proper orders ended with a 4xx, five seconds after the version: " + std::to_string(refused) + " of "
                + std::to_string(clients));
    return refused > 5 ? ruleBroken : ruleHeld;
}
