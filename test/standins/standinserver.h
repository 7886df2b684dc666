/** HTTP server for stand-ins: one thread, one port (ephemeral by default), one handler. */
#pragma once

#include "net/eventloop.h"
#include "net/httpserver.h"
#include "net/serverexchange.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jackdawdoor::standins {

/** Runs a handler for each request on the server's own thread. */
class StandinServer
{
public:
    using Exchange = std::shared_ptr<net::ServerExchange>;
    using Handler = std::function<void(const Exchange &, const net::RequestContent &)>;

    explicit StandinServer(Handler handler, int port = 0);
    ~StandinServer(); ///< closes all connections and joins the thread
    StandinServer(const StandinServer &) = delete;
    StandinServer &operator=(const StandinServer &) = delete;

    int port() const;

    /** "127.0.0.1:port" */
    std::string address() const;

    /** "http://127.0.0.1:port" */
    std::string url() const;

    net::EventLoop &loop();

    /** Runs the action on the server's thread after the delay, unless the server is destroyed first. */
    void later(Duration delay, std::function<void()> action);

private:
    void accept(evhttp_request *request);

    net::EventLoop m_loop;
    Handler m_handler;
    std::map<const net::ServerExchange *, Exchange> m_open;
    std::map<std::uint64_t, std::unique_ptr<net::Timer>> m_timers;
    std::uint64_t m_nextTimer = 0;
    std::unique_ptr<net::HttpServer> m_server;
    int m_port = 0;
};

/** Prints "NAME PORT" and waits for SIGTERM or SIGINT. */
int runStandin(const std::string &name, int port);

} // namespace jackdawdoor::standins
