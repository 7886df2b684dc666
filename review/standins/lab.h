/** Stand-ins for the review's scripts: the platform's store, servers, clients, and proxy processes on loopback.
 *
 * They need only the C++ library, so that review/build.sh can build them where just the packages of the deploy file are
 * installed. They follow the users' pages: PROTOCOL (store, targets, clients) and DEPLOY (settings of a process, memory).
 * Sockets block, and each connection has a thread.
 */
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace lab {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

/** Milliseconds since the start of the process. */
double now();

void sleepFor(int milliseconds);

/** False when the environment has TROUBLE=0. */
bool trouble();

/** Writes record.txt: one line an event, with its time in ms. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    FILE *m_file;
};

/** A request as a server received it, or an answer as a client did. */
struct Message {
    std::string first; ///< request line or status line
    std::string head;
    std::string body;

    /** Value of a header, or an empty string. */
    std::string header(std::string_view name) const;

    /** Status of an answer; 0 if there is none. */
    int status() const;
};

/** A connected socket with the bytes read ahead. */
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** Reads one message with a Content-Length. False when the connection ends or the time is over. */
    bool read(Message &message, int timeoutMilliseconds = 60000);

    bool write(std::string_view bytes);

    /** True when the peer has closed the connection. */
    bool peerClosed() const;

private:
    int m_socket;
    std::string m_ahead;
};

/** Connects; nullptr when that fails within a second. */
std::unique_ptr<Connection> connectTo(const std::string &host, int port);

/** Listens on a loopback address and runs a handler on a thread for each connection. */
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    Listener(const std::string &host, Handler handler);
    ~Listener();
    std::string address() const;

private:
    std::string m_host;
    int m_socket;
    int m_port;
    Handler m_handler;
    std::thread m_thread;
};

/** The platform's store: keyed topics of one partition. */
class Store
{
public:
    explicit Store(const std::string &host);
    std::string address() const;

    /** Appends a record; an empty value removes the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** While it is away, no call is answered, and the connections of these calls stay silent for good. */
    void setAway(bool isAway);
    bool away();

private:
    struct Entry {
        std::string key;
        std::string value;
    };
    void serve(Connection &connection);
    std::pair<int, std::string> answer(const Message &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_away = false;
    std::map<std::string, std::vector<Entry>> m_topics;
    Listener m_listener;
};

/** A sound server: answers each request after its work, with a signature and the request's id. */
class Server
{
public:
    using OnRun = std::function<void(const Message &)>;
    /** workMilliseconds: how long a request runs. onRun is called when one begins to run. */
    Server(std::string id, const std::string &host, int workMilliseconds, OnRun onRun);
    const std::string &id() const;
    std::string address() const;

    /** Its entry in the store. */
    std::string entry(const std::string &service, const std::string &zone, int sequence, const std::string &state) const;

private:
    void serve(Connection &connection);

    std::string m_id;
    int m_work;
    OnRun m_onRun;
    std::int64_t m_born;
    Listener m_listener;
};

/** One route of the configuration. */
struct Route {
    std::string prefix;
    std::string type;
    std::string service;
    int timeoutMilliseconds;
};

constexpr const char *host = "tienda.example";
constexpr long maximumBodyBytes = 67108864;

/** A configuration with the limits that `fleetbench wire` prints. */
std::string configuration(int version, const std::vector<Route> &routes);

/** A machine's process: `target/jackdawdoor proxy`, as the deploy file says. */
class Machine
{
public:
    Machine(int number, int port, const std::string &network, const Store &store, const std::string &folder, std::vector<int> seeds);
    ~Machine(); ///< kills the process
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    bool start();
    bool waitReady() const;
    const std::string &ip() const;
    int front() const;
    pid_t pid() const;
    void signal(int number) const;

    /** Anonymous memory of the process in MB, from /proc; 0 when it has ended. */
    double memory() const;

    /** True when the process has ended. */
    bool ended();

private:
    std::string m_ip;
    int m_port;
    std::string m_settings;
    std::string m_log;
    std::atomic<pid_t> m_pid{-1};
};

/** Folder for settings and logs, removed at the end. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    const std::string &path() const;

private:
    std::string m_path;
};

/** First of 26 ports that are free on the addresses of the network, or 0. */
int freePorts(const std::string &network);

/** Loopback network of this run, such as "127.42". */
std::string ownNetwork();

/** Bytes of a client's request. */
std::string
request(const std::string &method, const std::string &path, const std::string &id, int deadlineMilliseconds, std::string_view body);

} // namespace lab
