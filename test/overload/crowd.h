/** Callers that send bytes at the same time and keep their connections open, driven by one thread. */
#pragma once

#include "base/time.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::overload {

/** Bytes that one caller sends: the head, a block many times and the last bytes. Callers share the block. */
struct CallerBytes {
    std::string head;
    std::shared_ptr<const std::string> block = {};
    std::size_t blocks = 0;
    std::string last = {};
};

/** Open connections to one port. */
class Crowd
{
public:
    /** Sends at most pieceBytes on a connection before the next one has its turn. */
    Crowd(int port, std::size_t pieceBytes);
    ~Crowd(); ///< closes the connections
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /** Opens a connection. A caller that does not read leaves its answers in the socket. */
    void add(CallerBytes bytes, bool reads = true);

    /** Sends until each connection has sent its bytes or was closed, or none progresses any more. */
    void run();

    /** Connections that the peer has not closed. */
    std::size_t openConnections() const;

private:
    struct Caller {
        int socket = -1; ///< -1 when closed
        CallerBytes bytes;
        bool reads = true;
        bool connected = false;
        std::size_t part = 0; ///< zero: the head; up to the number of blocks: a block; after it: the last bytes
        std::size_t offset = 0; ///< bytes of the part that have been sent
    };

    static std::string_view unsent(const Caller &caller);
    static void close(Caller &caller);
    static bool discardInput(Caller &caller);
    bool sendPiece(Caller &caller) const;
    bool step();
    bool finished() const;

    int m_port;
    std::size_t m_pieceBytes;
    std::vector<Caller> m_callers;
};

} // namespace jackdawdoor::overload
