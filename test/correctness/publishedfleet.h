/** Fleet of the whole decision core with the Quetzal example in force, for tests in virtual time. */
#pragma once

#include "core/contractcompiler.h"
#include "fakes/virtualfleet.h"

#include <fstream>
#include <sstream>
#include <string>

namespace jackdawdoor::test {

constexpr std::uint64_t publishedFleetSeed = 20261204;

/** Contract of that name in examples/. */
inline std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(JACKDAWDOOR_SOURCE_DIR) + "/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Fleet with the Quetzal example published and in force. */
struct PublishedFleet {
    explicit PublishedFleet(std::size_t instances, std::uint64_t fleetSeed = publishedFleetSeed)
        : fleet(instances, 3, fleetSeed)
        , body(readExample("quetzal.contract.json"))
        , policy(core::compileContract(body).value())
    {
        fleet.addUpstreams(policy);
        fleet.run(std::chrono::seconds{3});
        fleet.publish(policy.customer, 0, body, "first");
        fleet.run(std::chrono::seconds{5});
    }

    core::CallerRequest read(const std::string &path) const
    {
        core::CallerRequest request;
        request.service = makeServiceId(policy.customer, "catalogue");
        request.method = "GET";
        request.path = path;
        request.fingerprint = 1;
        return request;
    }

    /** Order with a new key; sets `home` to the index of its home instance. */
    core::CallerRequest order(const std::string &caller, std::size_t &home)
    {
        core::CallerRequest request;
        request.service = makeServiceId(policy.customer, "orders");
        request.method = "POST";
        request.path = "/orders";
        request.fingerprint = 7;
        const core::PlacementReply reply = fleet.place(0, {request.service, caller});
        home = fleet.instanceAt(reply.addresses.at(0));
        request.key = reply.ticket + ".order-1";
        return request;
    }

    fakes::VirtualFleet fleet;
    std::string body;
    contract::CustomerPolicy policy;
};

} // namespace jackdawdoor::test
