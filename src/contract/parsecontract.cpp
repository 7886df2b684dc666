#include "contract/parsecontract.h"

#include "contract/documentreader.h"
#include "contract/objectreader.h"
#include "contract/operationreader.h"
#include "contract/schemalimits.h"
#include "contract/uniquenames.h"
#include "contract/upstreamreader.h"
#include "contract/valuerules.h"

namespace jackdawdoor::contract {

namespace {

void checkFloor(ObjectReader &reader, const Service &service)
{
    const auto upstreams = static_cast<int>(service.upstreams.size());
    if (upstreams > 0 && service.healthyFloor.requiredUpstreams(upstreams) > upstreams) {
        reader.contradiction("healthyFloor",
                             "a floor of " + std::to_string(service.healthyFloor.amount) + " exceeds the number of upstreams",
                             "count from 1 to " + std::to_string(upstreams) + ", or \"1%\" to \"100%\"");
    }
}

Service readService(ObjectReader &reader, UniqueNames &addresses, FaultList &faults, SourceLines &lines)
{
    Service service;
    service.name = reader.required("name", nameRule()).value_or("");
    service.peakRequestsPerSecond = reader.required("peakRequestsPerSecond", numberRule(minimumPeakRate, maximumPeakRate)).value_or(0);
    service.healthyFloor = reader.required("healthyFloor", floorRule()).value_or(HealthyFloor{});
    service.upstreams = readUpstreams(reader, addresses, faults, lines);
    service.operations = readOperations(reader, faults, lines);
    checkFloor(reader, service);
    reader.finish();
    return service;
}

std::vector<Service> readServices(ObjectReader &document, FaultList &faults, SourceLines &lines)
{
    std::vector<Service> services;
    const auto *nodes = document.requiredList("services", maximumServices);
    if (nodes == nullptr) {
        return services;
    }
    UniqueNames names("a name that no other service of the contract has");
    // Slots are leased per service, so an upstream listed in two services would get twice its load.
    UniqueNames addresses("an address that no other upstream of the contract has");
    for (const DocumentNode &node : *nodes) {
        ObjectReader reader(node, joinIndex(joinKey(document.path(), "services"), services.size()), faults, &lines);
        Service service = readService(reader, addresses, faults, lines);
        if (!service.name.empty()) {
            names.add(service.name, joinKey(reader.path(), "name"), reader.find("name")->line, faults);
        }
        services.push_back(std::move(service));
    }
    return services;
}

Contract readContract(const DocumentNode &document, FaultList &faults)
{
    Contract contract;
    ObjectReader reader(document, "", faults, &contract.lines);
    contract.customer = reader.required("customer", nameRule()).value_or("");
    if (reader.find("organisationHeader") != nullptr) {
        contract.organisationHeader = reader.required("organisationHeader", headerRule()).value_or("");
    }
    contract.weight = reader.required("weight", weightRule()).value_or(Weight::DetectionTime);
    contract.services = readServices(reader, faults, contract.lines);
    reader.finish();
    return contract;
}

} // namespace

ParseResult parseContract(std::string_view text)
{
    FaultList faults;
    ParseResult result;
    if (const auto document = readDocument(text, faults)) {
        result.contract = readContract(*document, faults);
    }
    if (!faults.empty()) {
        result.contract.reset();
    }
    result.faults = faults.takeSorted();
    return result;
}

} // namespace jackdawdoor::contract
