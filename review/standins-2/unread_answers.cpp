// Clients that read a large download slowly at first, from targets that cut off an answer that stays unread.
#include "lab2.h"

#include <cstdlib>

#include <sys/socket.h>
#include <unistd.h>

using namespace lab2;

namespace {

constexpr const char *host = "legajos.example";
constexpr int clients = 6;
constexpr long workMs = 640;
constexpr std::size_t answerBytes = 12000000;
/** A target cuts off an answer of which nothing is read for this long. */
constexpr long unreadLimitMs = 4000;
constexpr long deadlineMs = 20000;
/** A client on an ordinary Ethernet path; loopback packets are 64 KB otherwise. */
constexpr int segment = 1400;
constexpr int receiveBuffer = 8192;
/** The client reads this much each period for the first part of its time, and then all that is there. */
constexpr std::size_t slowBytes = 1500;
constexpr long slowPeriodMs = 100;
constexpr long slowMs = 7000;

struct Client {
    int socket = -1;
    std::string id;
    std::string received;
    std::string end;
    long sentAt = 0;
    long endedAt = 0;
};

bool complete(const Client &client)
{
    const std::size_t at = client.received.find("\r\n\r\n");
    return at != std::string::npos && client.received.substr(at + 4) == answerBody(client.id, answerBytes);
}

void read(Client &client)
{
    std::vector<char> buffer(65536);
    while (true) {
        const long age = nowMs() - client.sentAt;
        const bool slow = withTrouble() && age < slowMs;
        if (age >= deadlineMs) {
            client.end = "open at the deadline";
            break;
        }
        const ssize_t count = recv(client.socket, buffer.data(), slow ? slowBytes : buffer.size(), 0);
        if (count <= 0) {
            client.end = count == 0 ? "closed" : "reset";
            break;
        }
        client.received.append(buffer.data(), static_cast<std::size_t>(count));
        if (client.received.size() >= answerBytes && complete(client)) {
            client.end = "open";
            break;
        }
        sleepMs(slow ? slowPeriodMs : 0);
    }
    client.endedAt = nowMs();
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
    Target first(record, "i-1", "svc-legajos", workMs, answerSize);
    Target second(record, "i-2", "svc-legajos", workMs, answerSize);
    store.put("keyed.op",
              "config",
              configuration("00000001", host, {rule("r-1", "download", "/legajo/", "svc-legajos", deadlineMs)}, {"svc-legajos"}));
    store.put("keyed.servers", first.id(), first.entry());
    store.put("keyed.servers", second.id(), second.entry());
    Machine machine(record, folder.path(), "edge-1", "127.0.0.1", store.endpoint());
    machine.start();
    if (!machine.waitUntilReady(10000)) {
        return couldNotRun;
    }
    sleepMs(2000);
    first.setUnreadLimit(unreadLimitMs);
    second.setUnreadLimit(unreadLimitMs);
    std::vector<Client> all(clients);
    for (std::size_t index = 0; index < all.size(); ++index) {
        Client &client = all[index];
        client.id = "b" + std::to_string(index);
        client.socket = connectTo(machine.ip(), machine.front(), receiveBuffer, segment);
        sendAll(client.socket, requestHead("GET", "/legajo/warm", host, "w" + std::to_string(index), deadlineMs));
        const auto warm = Reader(client.socket).next(true);
        if (!warm || warm->firstLine.find(" 200 ") == std::string::npos) {
            record.line("no answer before the test");
            return couldNotRun;
        }
    }
    record.line("each client has a kept connection with one answered request");
    // DIRECT=1: the same clients ask a target itself, as a comparison.
    const bool direct = std::getenv("DIRECT") != nullptr;
    std::vector<std::thread> readers;
    for (Client &client : all) {
        client.sentAt = nowMs();
        std::string head = requestHead("GET", "/legajo/" + client.id, host, client.id, deadlineMs);
        if (direct) {
            close(client.socket);
            client.socket = connectTo("127.0.0.1", first.port(), receiveBuffer, segment);
            head.insert(head.size() - 2, "X-Jackdawdoor-Intended-Instance: " + first.id() + "\r\n");
        }
        sendAll(client.socket, head);
        record.line("client sends " + client.id);
        readers.emplace_back([&client] {
            read(client);
        });
    }
    for (std::thread &reader : readers) {
        reader.join();
    }
    std::vector<Run> runs = first.runs();
    for (const Run &run : second.runs()) {
        runs.push_back(run);
    }
    int lost = 0;
    for (const Client &client : all) {
        bool ran = false;
        for (const Run &run : runs) {
            ran = ran || run.id == client.id;
        }
        const std::size_t at = client.received.find("\r\n\r\n");
        const std::size_t have = at == std::string::npos ? 0 : client.received.size() - at - 4;
        const bool cut = ran && !complete(client) && (client.end == "closed" || client.end == "reset");
        record.line(client.id + (ran ? " was passed on to a target; " : " was not passed on; ") + "the client has " + std::to_string(have)
                    + " of " + std::to_string(answerBytes) + " bytes " + std::to_string(client.endedAt - client.sentAt)
                    + " ms after it sent the request; connection " + client.end);
        lost += cut ? 1 : 0;
        close(client.socket);
    }
    record.line("kept connections closed without a complete answer, before the deadline: " + std::to_string(lost) + " of "
                + std::to_string(clients));
    return lost > 3 ? ruleBroken : ruleHeld;
}
