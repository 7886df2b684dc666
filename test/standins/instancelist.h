/** Stand-in for the platform's instance list.
 *
 * GET /instances answers as in docs/design.md. PUT /instances with the same JSON replaces the list after the lag set by
 * POST /control?lag_ms=N; POST /control?outage=1 closes connections without an answer until outage=0.
 */
#pragma once

#include "standins/standinserver.h"

#include <nlohmann/json.hpp>

#include <string>

namespace jackdawdoor::standins {

/** List of instances whose updates can be delayed. */
class InstanceList
{
public:
    explicit InstanceList(int port = 0);

    const StandinServer &server() const;

    /** Adds or replaces one entry immediately; state is "live" or "leaving". */
    void set(const std::string &id, const std::string &address, const std::string &dataCentre, const std::string &state);

    void remove(const std::string &id);

    void setOutage(bool outage);

private:
    void handle(const StandinServer::Exchange &exchange, const net::RequestContent &request);
    void replace(const std::string &body);

    nlohmann::json m_entries = nlohmann::json::object();
    Duration m_lag{};
    bool m_outage = false;
    StandinServer m_server; // last member: its thread must end before the state is destroyed
};

} // namespace jackdawdoor::standins
