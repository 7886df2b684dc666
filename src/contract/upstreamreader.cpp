#include "contract/upstreamreader.h"

#include "contract/schemalimits.h"
#include "contract/valuerules.h"

#include <optional>

namespace jackdawdoor::contract {

namespace {

// Default set at the service. A faulty one is reported once, not as missing from each entry.
template <typename Value>
struct Default {
    bool given = false;
    std::optional<Value> value;
};

// Values of upstream entries that leave a key out.
struct UpstreamDefaults {
    Default<int> slots;
    Default<int> connections;
    Default<std::string> dataCentre;
};

template <typename Value>
Default<Value> readDefault(ObjectReader &reader, const std::string &key, const ValueRule<Value> &rule)
{
    if (reader.find(key) == nullptr) {
        return {};
    }
    return {true, reader.required(key, rule)};
}

UpstreamDefaults readDefaults(ObjectReader &service, FaultList &faults, SourceLines &lines)
{
    UpstreamDefaults defaults;
    const DocumentNode *node = service.find("upstreamDefaults");
    if (node == nullptr) {
        return defaults;
    }
    ObjectReader reader(*node, joinKey(service.path(), "upstreamDefaults"), faults, &lines);
    defaults.slots = readDefault(reader, "slots", integerRule(1, maximumSlots));
    defaults.connections = readDefault(reader, "connections", integerRule(1, maximumConnections));
    defaults.dataCentre = readDefault(reader, "dataCentre", nameRule());
    reader.finish();
    return defaults;
}

template <typename Value>
std::optional<Value>
readOrDefault(ObjectReader &reader, const std::string &key, const ValueRule<Value> &rule, const Default<Value> &fallback)
{
    if (fallback.given && reader.find(key) == nullptr) {
        return fallback.value;
    }
    return reader.required(key, rule);
}

// Each running request occupies a connection, so fewer connections than slots would leave slots unusable.
void checkConnections(ObjectReader &reader, std::optional<int> slots, std::optional<int> connections)
{
    if (slots && connections && *connections < *slots) {
        reader.contradiction("connections",
                             std::to_string(*connections) + " connections can't use " + std::to_string(*slots) + " slots",
                             "at least as many connections as slots");
    }
}

Upstream readUpstream(ObjectReader &reader, const UpstreamDefaults &defaults)
{
    const auto slots = readOrDefault(reader, "slots", integerRule(1, maximumSlots), defaults.slots);
    const auto connections = readOrDefault(reader, "connections", integerRule(1, maximumConnections), defaults.connections);
    checkConnections(reader, slots, connections);
    Upstream upstream;
    upstream.name = reader.required("name", nameRule()).value_or("");
    upstream.address = reader.required("address", addressRule()).value_or("");
    upstream.dataCentre = DataCentreId{readOrDefault(reader, "dataCentre", nameRule(), defaults.dataCentre).value_or("")};
    upstream.slots = slots.value_or(0);
    upstream.connections = connections.value_or(0);
    reader.finish();
    return upstream;
}

} // namespace

std::vector<Upstream> readUpstreams(ObjectReader &service, UniqueNames &addresses, FaultList &faults, SourceLines &lines)
{
    const UpstreamDefaults defaults = readDefaults(service, faults, lines);
    const auto *nodes = service.requiredList("upstreams", maximumUpstreams);
    std::vector<Upstream> upstreams;
    if (nodes == nullptr) {
        return upstreams;
    }
    UniqueNames names("a name that no other upstream of the service has");
    for (const DocumentNode &node : *nodes) {
        ObjectReader reader(node, joinIndex(joinKey(service.path(), "upstreams"), upstreams.size()), faults, nullptr);
        Upstream upstream = readUpstream(reader, defaults);
        if (!upstream.name.empty()) {
            names.add(upstream.name, joinKey(reader.path(), "name"), reader.find("name")->line, faults);
        }
        if (!upstream.address.empty()) {
            addresses.add(upstream.address, joinKey(reader.path(), "address"), reader.find("address")->line, faults);
        }
        upstreams.push_back(std::move(upstream));
    }
    return upstreams;
}

} // namespace jackdawdoor::contract
