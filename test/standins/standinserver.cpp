#include "standins/standinserver.h"

#include <csignal>
#include <iostream>
#include <stdexcept>

namespace jackdawdoor::standins {

StandinServer::StandinServer(Handler handler, int port)
    : m_handler(std::move(handler))
{
    m_server = std::make_unique<net::HttpServer>(m_loop, net::ServerLimits{}, [this](evhttp_request *request) {
        accept(request);
    });
    const auto bound = m_server->listen({"127.0.0.1", port});
    if (!bound.has_value()) {
        throw std::runtime_error(bound.error().message());
    }
    m_port = bound.value().port;
    m_loop.start();
}

StandinServer::~StandinServer()
{
    m_loop.call([this] {
        m_timers.clear();
        m_open.clear();
        m_server.reset();
    });
    m_loop.stop();
}

int StandinServer::port() const
{
    return m_port;
}

std::string StandinServer::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

std::string StandinServer::url() const
{
    return "http://" + address();
}

net::EventLoop &StandinServer::loop()
{
    return m_loop;
}

void StandinServer::later(Duration delay, std::function<void()> action)
{
    const std::uint64_t number = ++m_nextTimer;
    auto timer = std::make_unique<net::Timer>(m_loop, [this, number, action = std::move(action)] {
        action();
        m_timers.erase(number);
    });
    timer->set(delay);
    m_timers.emplace(number, std::move(timer));
}

void StandinServer::accept(evhttp_request *request)
{
    // Exchanges that have ended are removed at the next request; a hanging one stays until its caller disconnects.
    std::erase_if(m_open, [](const auto &entry) {
        return entry.second->closed();
    });
    auto exchange = std::make_shared<net::ServerExchange>(m_loop, request, m_server->limits(), net::ServerExchange::Hook{});
    m_open.emplace(exchange.get(), exchange);
    m_handler(exchange, exchange->content());
}

int runStandin(const std::string &name, int port)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    std::cout << name << ' ' << port << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace jackdawdoor::standins
