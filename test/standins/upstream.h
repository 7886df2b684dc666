/** Stand-in for an upstream with faults that can be changed at run time.
 *
 * Answers carry Age, X-Run (number of the run) and X-Echo-Target; the body is body_bytes or the query's bytes=N long.
 * POST /control?fault=NAME&delay_ms=N&body_bytes=N&percent=N sets the behaviour, GET /counts returns the runs, in total
 * and for each Idempotency-Key. A request counts as run when the upstream would have executed its work.
 */
#pragma once

#include "standins/standinserver.h"

#include <cstdint>
#include <map>
#include <string>

namespace jackdawdoor::standins {

/** Fault that the upstream applies to a request. */
enum class Fault {
    None,
    Slow, ///< runs and answers after the delay
    Error, ///< runs and answers with status 500
    Wrong, ///< runs and answers 200 with another content type and no Age header
    Short, ///< runs and closes in the middle of the body
    Hang, ///< runs and never answers
    Reset, ///< runs and resets the connection
    Shed, ///< does not run; 503 with Retry-After
    Drain, ///< does not run; 503 with Retry-After and Connection: close
};

/** Behaviour of the upstream. */
struct Behaviour {
    Fault fault = Fault::None;
    Duration delay{};
    std::uint64_t bodyBytes = 64;
    int percent = 100; ///< percentage of requests that the fault applies to; the others are answered normally

    bool operator==(const Behaviour &) const = default;
};

/** Upstream that counts its runs. */
class Upstream
{
public:
    explicit Upstream(int port = 0);

    const StandinServer &server() const;

    void behave(const Behaviour &behaviour);

    /** Number of runs in total. */
    std::uint64_t runs();

    /** Number of runs of requests with this Idempotency-Key. */
    std::uint64_t runs(const std::string &key);

    /** Bytes of the body at a position; every answer's body is a prefix of the same sequence. */
    static std::string bodyBytes(std::uint64_t position, std::size_t count);

private:
    void handle(const StandinServer::Exchange &exchange, const net::RequestContent &request);
    void run(const StandinServer::Exchange &exchange, const net::RequestContent &request, Fault fault);
    void answer(const StandinServer::Exchange &exchange, const net::RequestContent &request, Fault fault);
    void stream(const StandinServer::Exchange &exchange, std::uint64_t position, std::uint64_t end, bool breaks);
    void control(const StandinServer::Exchange &exchange, const std::string &target);
    bool meetsFault();

    Behaviour m_behaviour;
    std::uint64_t m_received = 0;
    std::uint64_t m_runs = 0;
    std::map<std::string, std::uint64_t> m_runsByKey;
    StandinServer m_server; // last member: its thread must end before the state is destroyed
};

} // namespace jackdawdoor::standins
