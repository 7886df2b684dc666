/** Stand-in for the platform's append-only log service.
 *
 * GET /streams/configuration?from=N&max=M and POST /streams/configuration behave as in docs/design.md. POST /control sets
 * faults: outage=0|1, slow_ms=N, lose_acknowledgements=N (the append takes effect, but its answer is lost),
 * first_retained=N (earlier records are no longer available), retention_ms=N.
 */
#pragma once

#include "standins/standinserver.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdawdoor::standins {

/** Append-only log with offsets, kept in memory. */
class LogService
{
public:
    explicit LogService(int port = 0);

    const StandinServer &server() const;

    /** Appends a record directly, without an HTTP request. */
    std::uint64_t append(std::string data);

    void setOutage(bool outage);

    /** The next count appends take effect, but their connections are closed without an answer. */
    void loseAcknowledgements(int count);

    /** Records before the offset are no longer returned. */
    void retainFrom(std::uint64_t offset);

    /** Number of records ever appended. */
    std::uint64_t size();

private:
    struct Record {
        std::string data;
        TimePoint appended;
    };

    void handle(const StandinServer::Exchange &exchange, const net::RequestContent &request);
    void answer(const StandinServer::Exchange &exchange, const net::RequestContent &request);
    void answerRead(const StandinServer::Exchange &exchange, const std::string &target);
    void answerAppend(const StandinServer::Exchange &exchange, const std::string &data);
    void control(const StandinServer::Exchange &exchange, const std::string &target);

    std::vector<Record> m_records;
    std::uint64_t m_firstRetained = 0;
    Duration m_retention = std::chrono::hours{1};
    Duration m_delay{};
    bool m_outage = false;
    int m_lostAcknowledgements = 0;
    StandinServer m_server; // last member: its thread must end before the state is destroyed
};

} // namespace jackdawdoor::standins
