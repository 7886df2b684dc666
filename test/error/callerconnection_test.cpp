/** Error handling of callers' connections. */
#include "proxy/callerconnection.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

using namespace jackdawdoor;

// Guards against a graceful stop that truncates a large answer: the request had ended, but its answer was not sent completely
// to a slow caller.
TEST_CASE("closing idle connections spares a connection with unsent answer bytes")
{
    constexpr std::size_t bodyBytes = std::size_t{4} * 1024 * 1024;
    int sockets[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) == 0);
    net::EventLoop loop;
    std::unique_ptr<proxy::CallerConnection> connection;
    std::atomic<bool> answered{false};
    proxy::CallerHooks hooks;
    hooks.onRequest = [&](proxy::CallerConnection &caller, proxy::CallerRequest &&) {
        caller.reply(200, {}, std::string(bodyBytes, 'x'));
        answered = true;
    };
    hooks.onGone = [](proxy::CallerConnection &) {};
    hooks.onRejected = [](proxy::CallerConnection &, int, const char *) {};
    hooks.onEnd = [&](proxy::CallerConnection &) {
        connection.reset();
    };
    loop.start();
    loop.call([&] {
        connection = std::make_unique<proxy::CallerConnection>(loop, sockets[0], routing::CallerLimits{}, hooks);
    });
    constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    REQUIRE(write(sockets[1], request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    for (int count = 0; count < 200 && !answered; ++count) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    REQUIRE(answered.load());
    loop.call([&] {
        connection->beginClose(true);
    });
    std::size_t received = 0;
    char buffer[65536];
    for (ssize_t size = read(sockets[1], buffer, sizeof(buffer)); size > 0; size = read(sockets[1], buffer, sizeof(buffer))) {
        received += static_cast<std::size_t>(size);
        if (received >= bodyBytes) {
            break;
        }
    }
    CHECK_MESSAGE(received >= bodyBytes, "the answer was truncated after " << received << " bytes");
    close(sockets[1]);
    loop.call([&] {
        connection.reset();
    });
    loop.stop();
}
