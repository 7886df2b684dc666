/* World: publishing, and the versions in force at the instances. */
#include "measure/world.h"

#include "configuration/logrecord.h"

namespace jackdawdoor::measure {

void World::publish(bool stale, bool twice)
{
    fakes::VirtualFleet *product = m_fleet->product();
    if (product == nullptr) {
        return;
    }
    const TimePoint now = m_fleet->events().now();
    const std::string id = "publish-" + std::to_string(++m_publishes);
    const configuration::Version current = m_accepted.back().version;
    const configuration::Version base = stale && m_accepted.size() > 1 ? m_accepted[m_accepted.size() - 2].version : current;
    const std::string body = m_body + "// " + id + "\n";
    const auto record = configuration::encodeRecord(configuration::Publish{m_policy.customer, id, base, body});
    const std::optional<std::uint64_t> offset = product->log.append(now, record);
    if (twice) {
        // Models a lost acknowledgement after which the publisher appends again; the base version is then no longer current.
        product->log.append(now, record);
    }
    if (offset && base == current) {
        m_accepted.push_back({*offset + 1, now, {}});
    }
}

void World::sampleVersions()
{
    fakes::VirtualFleet *product = m_fleet->product();
    if (product == nullptr) {
        return;
    }
    for (std::size_t index = 0; index < product->size(); ++index) {
        if (!product->isUp(index)) {
            continue;
        }
        const auto state = product->core(index).contractState(m_policy.customer);
        const configuration::Version version = state ? state->version : 0;
        if (version > 0) {
            checkVersion(index, product->incarnation(index), version);
        }
    }
}

void World::checkVersion(std::size_t instance, Incarnation incarnation, configuration::Version version)
{
    configuration::Version &highest = m_versions[{instance, incarnation}];
    bool known = false;
    for (Accepted &accepted : m_accepted) {
        known = known || accepted.version == version;
        if (version >= accepted.version && accepted.inForce.insert(instance).second) {
            m_measurement.inForceSeconds.push_back(toSeconds(m_fleet->events().now() - accepted.at));
        }
    }
    if (version < highest || !known) {
        ++m_measurement.versionReverts;
        m_measurement.addTrace("version: entry-" + std::to_string(instance) + " has " + std::to_string(version) + " after "
                               + std::to_string(highest) + (known ? "" : ", which no accepted publish made"));
    }
    highest = std::max(highest, version);
}

} // namespace jackdawdoor::measure
