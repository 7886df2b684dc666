/** Interface of a node of the idempotency model test to the simulation. */
#pragma once

#include "idempotency/homekeys.h"

#include <functional>
#include <string>

namespace jackdawdoor::idempotency::model {

/** One copy of a request. */
struct Request {
    IdempotencyKey key;
    std::uint64_t fingerprint = 0;
    int work = 0;
    std::uint64_t id = 0;
    int replyTo = -1; ///< node that forwarded it, or -1 for the caller
};

/** Simulated network, callers and timers, as seen by a node. */
class World
{
public:
    virtual ~World() = default;
    virtual void sendControl(int from, const Outgoing<IdempotencyMessage> &message) = 0;
    virtual void sendRequest(int to, const Request &request) = 0;
    virtual void sendAnswer(int from, const Request &request, OutcomeKind kind, const std::string &body) = 0;
    virtual void ran(const Request &request) = 0;
    virtual void later(int node, Duration delay, std::function<void()> action) = 0; ///< dropped if the node is replaced
    virtual bool chance(double probability) = 0;
    virtual Duration between(Duration low, Duration high) = 0;
    virtual int indexOf(const InstanceId &id) const = 0;
};

constexpr Duration ms{1000};

} // namespace jackdawdoor::idempotency::model
