#include "standins/scriptedupstream.h"

#include "net/eventloop.h"
#include "net/httpmessage.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string_view>

namespace jackdawdoor::standins {

namespace {

constexpr int pollMilliseconds = 20;

/** Value of a header line in a request head, or an empty string. */
std::string findLine(const std::string &head, const std::string &name)
{
    std::size_t position = head.find("\r\n");
    while (position != std::string::npos && position + 2 < head.size()) {
        const std::size_t end = head.find("\r\n", position + 2);
        const std::string line = head.substr(position + 2, end - position - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos && net::equalsIgnoreCase(line.substr(0, colon), name)) {
            return line.substr(line.find_first_not_of(' ', colon + 1));
        }
        position = end;
    }
    return {};
}

bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/** Makes close() reset the connection instead of ending it in an orderly way. */
void resetOnClose(int socket)
{
    const linger immediately{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

} // namespace

std::string ReceivedRequest::header(const std::string &name) const
{
    return findLine(head, name);
}

ScriptedUpstream::ScriptedUpstream(Script script, Answers answers)
    : m_script(std::move(script))
    , m_answers(answers)
{
    openListener();
    m_acceptor = std::thread([this] {
        acceptAll();
    });
}

ScriptedUpstream::~ScriptedUpstream()
{
    m_stopping = true;
    m_acceptor.join();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    if (m_listener >= 0) {
        close(m_listener);
    }
}

void ScriptedUpstream::openListener()
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(m_port));
    if (bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        close(listener);
        return; // another socket has the port for a moment; the acceptor tries again
    }
    listen(listener, 64);
    if (m_port == 0) {
        socklen_t length = sizeof(address);
        getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
    }
    m_listener = listener;
}

bool ScriptedUpstream::crashed() const
{
    return net::now().time_since_epoch().count() < m_downUntil;
}

std::string ScriptedUpstream::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

std::vector<ReceivedRequest> ScriptedUpstream::requests()
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

std::uint64_t ScriptedUpstream::repeatedBytes() const
{
    return m_repeatedBytes;
}

int ScriptedUpstream::repeatedEnds() const
{
    return m_repeatedEnds;
}

int ScriptedUpstream::abandoned() const
{
    return m_abandoned.load();
}

std::string ScriptedUpstream::answerTo(const ReceivedRequest &request, int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Jackdawdoor-Request-Id: " + request.header("X-Jackdawdoor-Request-Id")
           + "\r\nX-Jackdawdoor-Response-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void ScriptedUpstream::acceptAll()
{
    while (!m_stopping) {
        if (crashed() && m_listener >= 0) {
            close(m_listener.exchange(-1));
        } else if (!crashed() && m_listener < 0) {
            openListener();
        }
        pollfd waiting{m_listener, POLLIN, 0};
        if (poll(&waiting, 1, pollMilliseconds) > 0 && !crashed()) {
            const int socket = accept(m_listener, nullptr, nullptr);
            const std::lock_guard lock(m_mutex);
            m_threads.emplace_back([this, socket] {
                serve(socket);
            });
        }
    }
}

void ScriptedUpstream::serve(int socket)
{
    std::string input;
    bool hanging = false;
    const int crashesBefore = m_crashes;
    while (!m_stopping) {
        pollfd waiting{socket, POLLIN, 0};
        const int ready = poll(&waiting, 1, pollMilliseconds);
        if (m_crashes != crashesBefore) {
            resetOnClose(socket);
            break;
        }
        if (ready <= 0) {
            continue;
        }
        char buffer[65536];
        const ssize_t size = recv(socket, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            m_abandoned += hanging ? 1 : 0;
            break;
        }
        input.append(buffer, static_cast<std::size_t>(size));
        const std::size_t headEnd = input.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            continue;
        }
        ReceivedRequest request{input.substr(0, headEnd + 2), {}};
        const std::size_t announced = net::parseNumber(request.header("Content-Length")).value_or(0);
        const std::size_t length = m_answers == Answers::AfterHead ? 0 : announced;
        if (input.size() < headEnd + 4 + length) {
            continue;
        }
        request.body = input.substr(headEnd + 4, length);
        input.erase(0, headEnd + 4 + length);
        ScriptedReply reply;
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
            reply = m_script(request);
        }
        std::this_thread::sleep_for(reply.delay);
        hanging = reply.hang;
        if (reply.hang) {
            continue;
        }
        if (reply.crashFor > Duration::zero()) {
            m_downUntil = (net::now() + reply.crashFor).time_since_epoch().count();
            ++m_crashes;
            // The listener must be closed first: a process that ends refuses connections by the time its peers see the reset.
            while (m_listener >= 0 && !m_stopping) {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
            continue;
        }
        if (reply.resetAfter) {
            resetOnClose(socket);
        }
        bool sent = sendAll(socket, reply.bytes);
        if (sent && !reply.rest.empty()) {
            std::this_thread::sleep_for(reply.restDelay);
            sent = sendAll(socket, reply.rest);
        }
        while (sent && !reply.repeated.empty() && !m_stopping) {
            sent = sendAll(socket, reply.repeated);
            m_repeatedBytes += sent ? reply.repeated.size() : 0;
            m_repeatedEnds += sent ? 0 : 1;
        }
        if (!sent || reply.closeAfter || reply.resetAfter) {
            std::this_thread::sleep_for(reply.endDelay);
            break;
        }
    }
    close(socket);
}

} // namespace jackdawdoor::standins
