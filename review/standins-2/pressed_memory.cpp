// Ordinary clients that read a download slowly, while clients outside our control send many large bodies at once.
#include "lab2.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace lab2;

namespace {

constexpr const char *host = "legajos.example";
constexpr int clients = 6;
constexpr int strangers = 24;
constexpr long workMs = 380;
/** The largest download on the sheet. */
constexpr std::size_t answerBytes = 540000;
constexpr long deadlineMs = 8000;
constexpr std::size_t strangeBytes = 60000000;
constexpr int segment = 1400;
constexpr int receiveBuffer = 8192;
constexpr std::size_t slowBytes = 400;
constexpr long slowPeriodMs = 100;
/** From then on, the client reads all that is there. */
constexpr long slowMs = 6000;
/** When the large bodies come, after the downloads. */
constexpr long strangersAfterMs = 1500;
/** All strangers together send no more than the machine's link carries (1,000 Mbit/s). */
constexpr std::size_t pieceBytes = 65536;
constexpr long piecePeriodMs = 14;

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
        const bool slow = age < slowMs;
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

/** Sends a body of legal size piece by piece, and would stop just short of its end. */
void sendLargeBody(Record &record, const Machine &machine, int index, std::atomic<bool> &stop)
{
    const int socket = connectTo(machine.ip(), machine.front());
    const std::string id = "s" + std::to_string(index);
    const timeval patience{0, 200000};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    sendAll(socket, requestHead("POST", "/abono/" + id, host, id, 10000, strangeBytes));
    const std::string piece(pieceBytes, 'x');
    std::size_t sent = 0;
    char answer[64];
    while (!stop) {
        const std::size_t left = strangeBytes - 16 - sent;
        const ssize_t count = left == 0 ? 0 : send(socket, piece.data(), std::min(left, piece.size()), MSG_NOSIGNAL);
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        sleepMs(piecePeriodMs);
        const ssize_t got = recv(socket, answer, sizeof(answer) - 1, left == 0 ? 0 : MSG_DONTWAIT);
        if (got >= 0) {
            answer[got] = 0;
            record.line(id + " is answered after " + std::to_string(sent) + " bytes: " + std::string(answer).substr(0, 12));
            break;
        }
    }
    close(socket);
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
              configuration(
                  "00000001",
                  host,
                  {rule("r-1", "download", "/legajo/", "svc-legajos", deadlineMs), rule("r-2", "unsafe", "/abono/", "svc-legajos", 5000)},
                  {"svc-legajos"}));
    store.put("keyed.servers", first.id(), first.entry());
    store.put("keyed.servers", second.id(), second.entry());
    Machine machine(record, folder.path(), "edge-1", "127.0.0.1", store.endpoint());
    machine.start();
    if (!machine.waitUntilReady(10000)) {
        return couldNotRun;
    }
    sleepMs(2000);
    std::vector<Client> all(clients);
    for (std::size_t index = 0; index < all.size(); ++index) {
        Client &client = all[index];
        client.id = "c" + std::to_string(index);
        client.socket = connectTo(machine.ip(), machine.front(), receiveBuffer, segment);
        sendAll(client.socket, requestHead("GET", "/legajo/warm", host, "w" + std::to_string(index), deadlineMs));
        const auto warm = Reader(client.socket).next(true);
        if (!warm || warm->firstLine.find(" 200 ") == std::string::npos) {
            record.line("no answer before the test");
            return couldNotRun;
        }
    }
    record.line("each client has a kept connection with one answered request");
    std::vector<std::thread> threads;
    for (Client &client : all) {
        client.sentAt = nowMs();
        sendAll(client.socket, requestHead("GET", "/legajo/" + client.id, host, client.id, deadlineMs));
        record.line("client sends " + client.id);
        threads.emplace_back([&client] {
            read(client);
        });
    }
    std::atomic<bool> stop{false};
    std::vector<std::thread> others;
    sleepMs(strangersAfterMs);
    if (withTrouble()) {
        record.line(std::to_string(strangers) + " strangers send bodies of " + std::to_string(strangeBytes) + " bytes");
        for (int index = 0; index < strangers; ++index) {
            others.emplace_back([&record, &machine, index, &stop] {
                sendLargeBody(record, machine, index, stop);
            });
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    stop = true;
    for (std::thread &thread : others) {
        thread.join();
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
