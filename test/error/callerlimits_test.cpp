/** Requests of callers while memory is short, and answers that callers do not read. */
#include "proxy/callerconnection.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

using namespace jackdawdoor;

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

/** One connection over a socket pair; its owner records what it hears. */
class CallerFixture
{
public:
    explicit CallerFixture(std::shared_ptr<limits::MemoryAccount> account, const routing::CallerLimits &limits = {})
        : m_account(std::move(account))
    {
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, m_sockets) == 0);
        m_hooks.onRequest = [this](proxy::CallerConnection &connection, proxy::CallerRequest &&request) {
            bodyBytes = request.body.size();
            ++requests;
            if (answer) {
                answer(connection);
            }
        };
        m_hooks.onGone = [this](proxy::CallerConnection &) {
            gone = true;
        };
        m_hooks.onRejected = [this](proxy::CallerConnection &, int status, const char *) {
            rejected = status;
        };
        m_hooks.onEnd = [this](proxy::CallerConnection &) {
            m_connection.reset();
            ended = true;
        };
        m_loop.start();
        m_loop.call([&] {
            m_connection = std::make_unique<proxy::CallerConnection>(m_loop, m_sockets[0], limits, m_hooks, m_account);
        });
    }

    ~CallerFixture()
    {
        shutdown(m_sockets[1], SHUT_RDWR); // ends a send that waits
        if (m_writer.joinable()) {
            m_writer.join();
        }
        close(m_sockets[1]);
        m_loop.call([this] {
            m_connection.reset();
        });
        m_loop.stop();
    }

    CallerFixture(const CallerFixture &) = delete;
    CallerFixture &operator=(const CallerFixture &) = delete;

    /** Sends without waiting, since the connection may not read. */
    void send(std::string bytes)
    {
        m_writer = std::thread([socket = m_sockets[1], bytes = std::move(bytes)] {
            for (std::size_t sent = 0; sent < bytes.size();) {
                const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
                if (count <= 0) {
                    return;
                }
                sent += static_cast<std::size_t>(count);
            }
        });
    }

    void call(const std::function<void(proxy::CallerConnection &)> &action)
    {
        m_loop.call([&] {
            if (m_connection) {
                action(*m_connection);
            }
        });
    }

    bool waitUntil(const std::function<bool()> &condition)
    {
        for (int count = 0; count < 500 && !condition(); ++count) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        return condition();
    }

    std::string received()
    {
        char buffer[4096];
        const ssize_t size = read(m_sockets[1], buffer, sizeof(buffer));
        return {buffer, size > 0 ? static_cast<std::size_t>(size) : 0};
    }

    /** Sends now; false if the connection is closed. */
    bool sendNow(std::string_view bytes)
    {
        return ::send(m_sockets[1], bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    /** Ends the caller's side of the connection. */
    void shutDown()
    {
        shutdown(m_sockets[1], SHUT_WR);
    }

    std::function<void(proxy::CallerConnection &)> answer; ///< to each request; set before the first
    std::atomic<int> requests{0};
    std::atomic<std::size_t> bodyBytes{0};
    std::atomic<int> rejected{-1};
    std::atomic<bool> gone{false};
    std::atomic<bool> ended{false};

private:
    std::shared_ptr<limits::MemoryAccount> m_account;
    net::EventLoop m_loop;
    proxy::CallerHooks m_hooks;
    int m_sockets[2]{};
    std::thread m_writer;
    std::unique_ptr<proxy::CallerConnection> m_connection;
};

std::string upload(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'u');
}

bool waitsForMemory(CallerFixture &caller)
{
    return caller.waitUntil([&] {
        std::size_t wanted = 0;
        caller.call([&](proxy::CallerConnection &connection) {
            wanted = connection.wantedBytes();
        });
        return wanted > 0;
    });
}

} // namespace

// Guards against uploads that together exceed the memory of the machine, and against ones that are refused although memory
// becomes free soon.
TEST_CASE("a large body waits for memory and is read to its end when there is some")
{
    const auto account = std::make_shared<limits::MemoryAccount>(limits::MemoryLimits{8 * megabyte, megabyte});
    CallerFixture caller(account);
    caller.call([&](proxy::CallerConnection &) {
        account->take(limits::MemoryKind::RequestBody, 5 * megabyte);
    });
    caller.send(upload(4 * megabyte));
    REQUIRE_MESSAGE(waitsForMemory(caller), "the body was read beyond the limit");
    caller.call([&](proxy::CallerConnection &connection) {
        CHECK_MESSAGE(account->used() <= 7 * megabyte, account->used() << " bytes are held");
        account->giveBack(limits::MemoryKind::RequestBody, 5 * megabyte);
        connection.resumeReading();
    });
    CHECK_MESSAGE(caller.waitUntil([&] {
        return caller.bodyBytes == 4 * megabyte;
    }),
                  "the request was not completed");
    CHECK_MESSAGE(caller.rejected == -1, "the request was refused with " << caller.rejected);
}

// Guards against a refusal that a caller takes for an answer of the upstream, and against memory that stays taken after it.
TEST_CASE("a request that is refused for lack of memory gets 503 with Retry-After, and its memory is free at once")
{
    const auto account = std::make_shared<limits::MemoryAccount>(limits::MemoryLimits{4 * megabyte, megabyte});
    CallerFixture caller(account);
    caller.send(upload(6 * megabyte));
    REQUIRE(waitsForMemory(caller));
    caller.call([&](proxy::CallerConnection &connection) {
        connection.endForMemory(limits::MemoryRelief::Refuse);
        CHECK_MESSAGE(account->used(limits::MemoryKind::RequestBody) == 0, "the body is still held");
    });
    const std::string answer = caller.received();
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 503 "), "the answer is " << answer);
    CHECK_MESSAGE(answer.find("\r\nRetry-After: ") != std::string::npos, "the answer has no Retry-After: " << answer);
    CHECK_MESSAGE(answer.find("\r\nConnection: close\r\n") != std::string::npos, "the rest of the body would be taken for a request");
}

// Guards against small requests that get no response while large ones hold the memory.
TEST_CASE("a small body is read while large ones find no memory")
{
    const auto account = std::make_shared<limits::MemoryAccount>(limits::MemoryLimits{8 * megabyte, megabyte});
    account->take(limits::MemoryKind::RequestBody, 7 * megabyte);
    CallerFixture caller(account);
    caller.send(upload(limits::smallRequestBytes));
    CHECK(caller.waitUntil([&] {
        return caller.bodyBytes == limits::smallRequestBytes;
    }));
}

// Guards against answers that fill the memory because their callers never read them.
TEST_CASE("an answer that its caller does not read for 15 s is aborted, and one that it reads slowly is not")
{
    const auto account = std::make_shared<limits::MemoryAccount>();
    CallerFixture caller(account);
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const TimePoint start = net::now();
    std::size_t unsent = 0;
    REQUIRE(caller.waitUntil([&] {
        caller.call([&](proxy::CallerConnection &connection) {
            if (connection.busy()) {
                connection.start(200, {}, 4 * megabyte);
                connection.sendBody(std::string(4 * megabyte, 'x'));
            }
            unsent = connection.unsent();
        });
        return unsent > 0;
    }));
    caller.call([&](proxy::CallerConnection &connection) {
        connection.tick(start);
        connection.tick(start + std::chrono::seconds{14});
        CHECK_MESSAGE(connection.busy(), "the answer was aborted too early");
    });
    std::size_t read = 0;
    for (std::size_t size = 1; size > 0 && read < megabyte;) {
        size = caller.received().size();
        read += size;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    caller.call([&](proxy::CallerConnection &connection) {
        connection.tick(start + std::chrono::seconds{16});
        CHECK_MESSAGE(connection.busy(), "an answer that is being read was aborted");
        connection.tick(start + std::chrono::seconds{32});
    });
    CHECK_MESSAGE(caller.waitUntil([&] {
        return caller.ended.load();
    }),
                  "an answer that is not read was not aborted");
    CHECK_MESSAGE(caller.gone.load(), "the request was not ended");
}

// Guards against an idle timeout that cuts off an answer, or a pipelined request behind it, while the caller goes on reading.
TEST_CASE("the idle timeout begins when the caller has the whole answer")
{
    routing::CallerLimits callerLimits;
    callerLimits.idleTimeout = std::chrono::milliseconds{400};
    constexpr std::size_t answerBytes = 4 * megabyte;
    CallerFixture caller(std::make_shared<limits::MemoryAccount>(), callerLimits);
    caller.answer = [](proxy::CallerConnection &connection) {
        connection.reply(200, {}, std::string(answerBytes, 'a'));
    };
    caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    std::size_t read = 0;
    for (std::size_t size = 1; size > 0; read += size) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
        size = caller.received().size();
    }
    CHECK_MESSAGE(read > 2 * answerBytes, "the caller got " << read << " bytes");
    CHECK_MESSAGE(caller.requests == 2, "the request behind the answer was dropped");
    CHECK_MESSAGE(caller.waitUntil([&] {
        return caller.ended.load();
    }),
                  "an idle connection was not closed");
}

// Guards against an upload that uses up the reserve for small requests because it has only begun.
TEST_CASE("a body that is announced as large does not begin in the reserve for small ones")
{
    const auto account = std::make_shared<limits::MemoryAccount>(limits::MemoryLimits{8 * megabyte, megabyte});
    account->take(limits::MemoryKind::RequestBody, 7 * megabyte);
    CallerFixture caller(account);
    caller.send(upload(megabyte));
    CHECK(waitsForMemory(caller));
    caller.call([&](proxy::CallerConnection &) {
        // The bytes that arrive with the head are read before the length is known.
        CHECK_MESSAGE(account->used() <= 7 * megabyte + 2 * proxy::maximumReadAheadBytes, "the body is read into the reserve");
    });
}

// Guards against one caller that holds an answer for each of its pipelined requests without reading any.
TEST_CASE("pipelined requests wait while the caller does not read the answers before them")
{
    constexpr int pipelined = 12;
    constexpr std::size_t answerBytes = std::size_t{600} * 1024;
    CallerFixture caller(std::make_shared<limits::MemoryAccount>());
    caller.answer = [](proxy::CallerConnection &connection) {
        connection.reply(200, {}, std::string(answerBytes, 'a'));
    };
    std::string sent;
    for (int number = 0; number < pipelined; ++number) {
        sent += "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    }
    caller.send(sent);
    REQUIRE(caller.waitUntil([&] {
        return caller.requests > 0;
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    CHECK_MESSAGE(caller.requests <= 2, caller.requests << " requests were begun");
    for (std::size_t read = 0; read < pipelined * answerBytes;) {
        const std::size_t size = caller.received().size();
        REQUIRE_MESSAGE(size > 0, "the connection was closed");
        read += size;
    }
    CHECK_MESSAGE(caller.requests == pipelined, "only " << caller.requests << " requests were answered once the caller read");
}

// Guards against a reset that destroys a refusal before its caller, which is still sending, has read it.
TEST_CASE("a refused caller may go on sending for a while, and its connection ends when it stops")
{
    CallerFixture caller(std::make_shared<limits::MemoryAccount>());
    REQUIRE(caller.sendNow("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"));
    CHECK(caller.received().starts_with("HTTP/1.1 413 "));
    for (int block = 0; block < 32; ++block) {
        REQUIRE_MESSAGE(caller.sendNow(std::string(std::size_t{64} * 1024, 'b')), "the connection was closed after " << block << " blocks");
    }
    CHECK_FALSE(caller.ended);
    caller.shutDown();
    CHECK(caller.waitUntil([&] {
        return caller.ended.load();
    }));
}

// Guards against a connection that is kept for as long as a refused caller goes on sending.
TEST_CASE("the connection of a refused caller that does not stop sending is closed")
{
    CallerFixture caller(std::make_shared<limits::MemoryAccount>());
    REQUIRE(caller.sendNow("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"));
    CHECK(caller.waitUntil([&] {
        return !caller.sendNow("b") && caller.ended;
    }));
}

// Guards against pipelined input that holds memory until requests that run are ended for it.
TEST_CASE("input that is dropped for memory leaves the request before it, and the connection closes after its answer")
{
    CallerFixture caller(std::make_shared<limits::MemoryAccount>());
    caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(megabyte, 'x'));
    REQUIRE(caller.waitUntil([&] {
        return caller.requests == 1;
    }));
    caller.call([&](proxy::CallerConnection &connection) {
        CHECK(connection.memoryHolder(1, 0).inputBytes > 0);
        connection.endForMemory(limits::MemoryRelief::DropInput);
        CHECK_MESSAGE(connection.memoryHolder(1, 0).inputBytes == 0, "the input is still held");
        CHECK_MESSAGE(connection.busy(), "the request was ended");
        connection.reply(200, {}, "done");
    });
    const std::string answer = caller.received();
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    CHECK_MESSAGE(answer.find("\r\nConnection: close\r\n") != std::string::npos, "the caller would wait for the second answer");
    caller.shutDown();
    CHECK(caller.waitUntil([&] {
        return caller.ended.load();
    }));
    CHECK_MESSAGE(caller.requests == 1, "a request behind the dropped input was begun");
}

// Guards against a connection that stays open after its last answer, because the requests behind that answer were dropped.
TEST_CASE("a connection whose input is dropped behind an unread answer ends when the answer has been read")
{
    constexpr std::size_t answerBytes = 4 * megabyte;
    CallerFixture caller(std::make_shared<limits::MemoryAccount>());
    caller.answer = [](proxy::CallerConnection &connection) {
        connection.reply(200, {}, std::string(answerBytes, 'a'));
    };
    caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(caller.waitUntil([&] {
        return caller.requests == 1;
    }));
    caller.call([&](proxy::CallerConnection &connection) {
        connection.endForMemory(limits::MemoryRelief::DropInput);
    });
    std::size_t read = 0;
    for (std::size_t size = 1; size > 0; read += size) {
        size = caller.received().size();
    }
    CHECK(read > answerBytes);
    caller.shutDown();
    CHECK(caller.waitUntil([&] {
        return caller.ended.load();
    }));
    CHECK(caller.requests == 1);
}

// Guards against an answer that is truncated because its caller shut down its sending side behind the request.
TEST_CASE("a caller that sends no more gets the rest of an answer that is complete")
{
    constexpr std::size_t answerBytes = 4 * megabyte;
    CallerFixture caller(std::make_shared<limits::MemoryAccount>());
    caller.answer = [](proxy::CallerConnection &connection) {
        connection.reply(200, {}, std::string(answerBytes, 'a'));
    };
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(caller.waitUntil([&] {
        return caller.requests == 1;
    }));
    caller.shutDown();
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    std::size_t read = 0;
    for (std::size_t size = 1; size > 0; read += size) {
        size = caller.received().size();
    }
    CHECK_MESSAGE(read > answerBytes, "the caller got " << read << " bytes");
    CHECK(caller.waitUntil([&] {
        return caller.ended.load();
    }));
    CHECK_FALSE(caller.gone);
}

// Guards against a connection that is kept because its caller stopped sending before it had read the last answer.
TEST_CASE("a refused caller that stops sending and then reads the refusal ends the connection")
{
    CallerFixture caller(std::make_shared<limits::MemoryAccount>());
    REQUIRE(caller.sendNow("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"));
    REQUIRE(caller.waitUntil([&] {
        return caller.rejected == 413;
    }));
    caller.shutDown();
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    CHECK_FALSE(caller.ended);
    CHECK(caller.received().starts_with("HTTP/1.1 413 "));
    CHECK_MESSAGE(caller.waitUntil([&] {
        return caller.ended.load();
    }),
                  "the connection is kept");
}
