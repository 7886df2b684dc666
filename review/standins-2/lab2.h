// Stand-ins for the cases of review/REPORT-2.md: the platform's store, targets, clients and the processes under test.
// Threads and blocking sockets on loopback addresses only; no library beyond the C++ standard library and POSIX.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace lab2 {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** Milliseconds since the program began. */
long nowMs();

void sleepMs(long milliseconds);

/** False with TROUBLE=0 in the environment: the same run without the disruption. */
bool withTrouble();

/** Writes record.txt, one line an event with its time; thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string headerOf(const Headers &headers, std::string_view name);

struct Message {
    std::string firstLine;
    Headers headers;
    std::string body;

    std::string path() const;
    std::string query(std::string_view name) const;
};

/** Reads messages from a socket. */
class Reader
{
public:
    explicit Reader(int socket);

    /** Next message with its body; nothing when the connection ended before the end of the message. */
    std::optional<Message> next(bool answer);

private:
    bool fill();

    int m_socket;
    std::string m_input;
};

bool sendAll(int socket, std::string_view bytes);

/** The same, but resets the connection when nothing moves for this long. */
bool sendWhileRead(int socket, std::string_view bytes, long unreadLimitMs);

/** Listens on a free loopback port and runs a handler in a thread for each connection. */
class Server
{
public:
    using Handler = std::function<void(int socket)>;

    Server(std::string address, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::string endpoint() const;
    int port() const;

private:
    std::string m_address;
    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::vector<int> m_sockets;
    std::atomic<bool> m_stopping{false};
    std::thread m_acceptor;
};

/** The platform's store: a log with keyed topics, linearizable, that loses nothing. */
class Store
{
public:
    Store();
    std::string endpoint() const;
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** While it is away, the store answers 503, and nothing is done. */
    void setAway(bool away);
    bool away() const;

    /** Removes the entries of all targets, as after three heartbeat intervals of silence. */
    void lapseTargets();

    /** True if the newest record of the target is an entry. */
    bool lists(const std::string &target);

    struct Entry {
        std::string key;
        std::string value;
    };
    using Copy = std::map<std::string, std::vector<Entry>>;

    Copy copy();

    /** Comes back from a copy: what was written since is gone, offsets are given out again, Store-Era rises by one. */
    void restore(const Copy &copy);

private:
    void serve(int socket);
    std::string handle(const Message &request);
    std::string newest(const std::string &topic, const std::string &after);
    std::string read(const std::string &topic, std::size_t from, long waitMs);
    std::string append(const std::string &topic, const std::string &bytes);

    std::mutex m_mutex;
    Copy m_topics;
    int m_era = 1;
    std::atomic<bool> m_away{false};
    std::unique_ptr<Server> m_server;
};

/** A request as a target ran it. */
struct Run {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    long atMs = 0;
};

/** A sound target: runs what names it, echoes the id and signs its answer. */
class Target
{
public:
    /** answerBytes: length of an answer by the request's path. */
    Target(Record &record, std::string id, std::string service, long workMs, std::function<std::size_t(const std::string &)> answerBytes);

    /** From now on it cuts off an answer of which nothing is read for this long. */
    void setUnreadLimit(long milliseconds);

    /** Value of its entry in the store. */
    std::string entry(int sequence = 1) const;
    const std::string &id() const;
    int port() const;
    std::vector<Run> runs();

private:
    void serve(int socket);

    Record &m_record;
    std::string m_id;
    std::string m_service;
    long m_workMs;
    std::function<std::size_t(const std::string &)> m_answerBytes;
    std::atomic<long> m_unreadLimitMs{0};
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::unique_ptr<Server> m_server;
};

/** The body that a target answers a request with. */
std::string answerBody(const std::string &requestId, std::size_t bytes);

/** One machine: target/jackdawdoor proxy with a settings file of a small deployment. */
class Machine
{
public:
    Machine(Record &record, const std::string &folder, const std::string &name, const std::string &ip, const std::string &store);
    ~Machine();
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    void start();
    void signalProcess(int signal);
    /** Waits until the process has ended, and says how; nothing when it still runs after the time. */
    std::optional<int> waitForEnd(long milliseconds);
    bool waitUntilReady(long milliseconds);
    const std::string &ip() const;
    int front() const;

private:
    void writeSettings(const std::string &store) const;

    Record &m_record;
    std::string m_folder;
    std::string m_name;
    std::string m_ip;
    int m_front = 0;
    int m_ready = 0;
    int m_directory = 0;
    int m_peers = 0;
    pid_t m_process = -1;
};

/** A client's connection. receiveBuffer, segment: options of a client behind a narrow link; zero for the usual. */
int connectTo(const std::string &ip, int port, int receiveBuffer = 0, int segment = 0);

/** Head of a request. */
std::string requestHead(const std::string &method,
                        const std::string &path,
                        const std::string &host,
                        const std::string &id,
                        long deadlineMs,
                        std::optional<std::size_t> bodyBytes = std::nullopt);

/** Rule of a configuration. */
std::string rule(const std::string &name, const std::string &kind, const std::string &prefix, const std::string &service, long timeoutMs);

/** Configuration with one host. */
std::string configuration(const std::string &version,
                          const std::string &host,
                          const std::vector<std::string> &rules,
                          const std::vector<std::string> &services,
                          std::size_t maximumBodyBytes = 67108864);

/** Folder of its own, removed at the end. */
class Folder
{
public:
    Folder();
    ~Folder();
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;
    const std::string &path() const;

private:
    std::string m_path;
};

} // namespace lab2
