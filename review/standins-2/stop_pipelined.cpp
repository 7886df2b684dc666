// Clients that send a further safe request behind one that is not yet answered, while their machine is stopped by SIGTERM.
#include "lab2.h"

#include <csignal>

#include <sys/socket.h>
#include <unistd.h>

using namespace lab2;

namespace {

constexpr const char *host = "koerier.example";
constexpr int clients = 6;
constexpr long workMs = 780;
/** The largest answer of this kind on the sheet. */
constexpr std::size_t answerBytes = 9000;
/** Window of a client behind a narrow link. */
constexpr int receiveBuffer = 2304;
constexpr long deadlineMs = 12000;

/** A client that reads slowly. */
struct Client {
    int socket = -1;
    std::string first;
    std::string second;
    std::string received;
    std::string end;
};

/** Reads a little at a time until the connection ends or both answers are there. */
void readSlowly(Client &client, std::size_t wanted, long until)
{
    char buffer[512];
    while (nowMs() < until && client.received.size() < wanted) {
        const ssize_t count = recv(client.socket, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            client.end = count == 0 ? "closed" : "reset";
            return;
        }
        client.received.append(buffer, static_cast<std::size_t>(count));
        sleepMs(5);
    }
    client.end = "open";
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Folder folder;
    Store store;
    const auto answerSize = [](const std::string &path) {
        return path.find("warm") != std::string::npos ? std::size_t{16} : answerBytes;
    };
    Target first(record, "i-1", "svc-koerier", workMs, answerSize);
    Target second(record, "i-2", "svc-koerier", workMs, answerSize);
    store.put("keyed.op", "config", configuration("00000001", host, {rule("r-1", "safe", "/volg/", "svc-koerier", 6000)}, {"svc-koerier"}));
    store.put("keyed.servers", first.id(), first.entry());
    store.put("keyed.servers", second.id(), second.entry());
    Machine machine(record, folder.path(), "edge-1", "127.0.0.1", store.endpoint());
    machine.start();
    if (!machine.waitUntilReady(10000)) {
        return couldNotRun;
    }
    sleepMs(2000);

    std::vector<Client> all(clients);
    for (int index = 0; index < clients; ++index) {
        Client &client = all[static_cast<std::size_t>(index)];
        client.first = "a" + std::to_string(index) + "-1";
        client.second = "a" + std::to_string(index) + "-2";
        client.socket = connectTo(machine.ip(), machine.front(), receiveBuffer);
        sendAll(client.socket, requestHead("GET", "/volg/warm", host, "w" + std::to_string(index), deadlineMs));
        const auto warm = Reader(client.socket).next(true);
        if (!warm || warm->firstLine.find(" 200 ") == std::string::npos) {
            record.line("no answer before the test");
            return couldNotRun;
        }
    }
    record.line("each client has a kept connection with one answered request");
    for (Client &client : all) {
        sendAll(client.socket, requestHead("GET", "/volg/" + client.first, host, client.first, deadlineMs));
        record.line("client sends " + client.first);
    }
    sleepMs(300);
    if (withTrouble()) {
        machine.signalProcess(SIGTERM);
    }
    const long sentAt = nowMs();
    sleepMs(1200);
    for (Client &client : all) {
        // It has read nothing of the first answer yet.
        const bool sent = sendAll(client.socket, requestHead("GET", "/volg/" + client.second, host, client.second, deadlineMs));
        record.line("client sends " + client.second + " behind " + client.first + (sent ? "" : ": the connection has ended"));
    }
    std::vector<std::thread> readers;
    for (Client &client : all) {
        readers.emplace_back([&client, sentAt] {
            // Both answers, or the first one if the machine closes behind it.
            readSlowly(client, 2 * answerBytes, sentAt + 6000);
        });
    }
    for (std::thread &reader : readers) {
        reader.join();
    }
    int lost = 0;
    std::vector<Run> runs = first.runs();
    for (const Run &run : second.runs()) {
        runs.push_back(run);
    }
    for (const Client &client : all) {
        bool ran = false;
        for (const Run &run : runs) {
            ran = ran || run.id == client.first;
        }
        const std::string body = answerBody(client.first, answerBytes);
        const std::size_t at = client.received.find("\r\n\r\n");
        const std::size_t have = at == std::string::npos ? 0 : client.received.size() - at - 4;
        const bool complete = at != std::string::npos && client.received.compare(at + 4, body.size(), body) == 0;
        record.line(client.first + (ran ? " was passed on to a target; " : " was not passed on; ") + "the client has "
                    + std::to_string(std::min(have, answerBytes)) + " of " + std::to_string(answerBytes)
                    + " bytes of its answer; connection " + client.end);
        lost += ran && !complete && client.end != "open" ? 1 : 0;
        close(client.socket);
    }
    record.line("requests passed on, whose connection ended without a complete answer: " + std::to_string(lost) + " of "
                + std::to_string(clients));
    if (withTrouble()) {
        machine.waitForEnd(8000);
    }
    return lost > 0 ? ruleBroken : ruleHeld;
}
