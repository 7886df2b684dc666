// StoreReplica: exchange of changes and state with other instances.
#include "net/httpfetch.h"
#include "proxy/compression.h"
#include "proxy/storereplica.h"
#include "proxy/usableentry.h"
#include "telemetry/log.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::proxy {

using nlohmann::json;
using telemetry::LogLevel;

namespace {

constexpr Duration fetchTimeout = std::chrono::milliseconds{800};
/** How long an exported state is cached. The replica age that it contains is off by at most this. */
constexpr Duration exportLifetime = std::chrono::milliseconds{200};

/** Replicas of about the same age do not exchange their catalogues while the store is away. */
constexpr Duration minimumAgeDifference = std::chrono::seconds{1};

/** Removes unusable entries that came from another instance. */
std::vector<fleet::UpstreamEntry> usableEntries(std::vector<fleet::UpstreamEntry> entries)
{
    const std::size_t unusable = std::erase_if(entries, [](const fleet::UpstreamEntry &entry) {
        return !isUsableEntry(entry);
    });
    if (unusable > 0) {
        telemetry::writeLog(LogLevel::Warning,
                            "apply upstreams",
                            "ignoring unusable entries from another instance",
                            {{"entries", std::to_string(unusable)}});
    }
    return entries;
}

} // namespace

void StoreReplica::applyDelta(const fleet::UpstreamDelta &delta)
{
    bool changed = false;
    for (const fleet::UpstreamEntry &entry : usableEntries(delta.entries)) {
        changed = m_catalogue.apply(entry) != fleet::CatalogueChange::Nothing || changed;
    }
    for (const fleet::UpstreamTombstone &departed : delta.tombstones) {
        changed = m_catalogue.remove(departed) != fleet::CatalogueChange::Nothing || changed;
    }
    publishCatalogue(changed);
}

fleet::StoreNotice StoreReplica::notice(TimePoint now) const
{
    return {m_table ? m_table->version() : 0, m_fingerprint, m_readSchedule.age(now), m_history.present()};
}

void StoreReplica::onNotice(TimePoint now, const fleet::StoreNotice &notice, const settings::Endpoint &stateAddress)
{
    noteRestoration(notice.history, "instance");
    const TimePoint asOf = now - notice.age;
    const bool newerConfiguration = notice.configurationVersion > (m_table ? m_table->version() : 0);
    const bool newerUpstreams = notice.catalogue != m_fingerprint && notice.age < m_readSchedule.age(now);
    if (!newerConfiguration && notice.catalogue == m_fingerprint) {
        m_readSchedule.advanceAsOf(asOf);
        return;
    }
    if ((newerConfiguration || newerUpstreams) && !m_fetching) {
        fetchState(stateAddress);
    }
}

bool StoreReplica::needsPeers(TimePoint now) const
{
    return !ready() || age(now) > fleet::isolatedStaleness;
}

bool StoreReplica::canHelp(TimePoint now, const fleet::StoreNotice &notice) const
{
    const bool asks = notice.configurationVersion == 0 || notice.age > fleet::isolatedStaleness;
    const bool newerConfiguration = m_table && m_table->version() > notice.configurationVersion;
    const bool newerUpstreams = notice.catalogue != m_fingerprint && age(now) + minimumAgeDifference < notice.age;
    return asks && (newerConfiguration || newerUpstreams);
}

void StoreReplica::fetchState(const settings::Endpoint &from)
{
    m_fetching = true;
    const TimePoint requestedAt = net::now();
    net::FetchRequest request;
    request.url = "http://" + from.text() + "/state?configuration=" + std::to_string(m_table ? m_table->version() : 0)
                  + "&catalogue=" + std::to_string(m_fingerprint);
    request.timeout = fetchTimeout;
    net::fetch(m_loop, request, [this, requestedAt, from](const Result<net::FetchAnswer> &answer) {
        m_fetching = false;
        constexpr int ok = 200;
        if (!answer.has_value() || answer.value().status != ok) {
            const std::string reason = answer.has_value() ? "status " + std::to_string(answer.value().status) : answer.error().reason;
            telemetry::writeLog(LogLevel::Warning, "fetch state", reason, {{"peer", from.text()}});
            return;
        }
        importState(answer.value().body, requestedAt);
    });
}

std::string StoreReplica::exportState(std::uint64_t configurationVersion, std::uint64_t catalogue, TimePoint now)
{
    const bool newer = m_table && m_table->version() > configurationVersion;
    const bool other = catalogue != m_fingerprint;
    // Cached, since all instances of a data centre fetch the same change at the same time.
    const StateKey key{newer ? m_table->version() : 0, other ? m_fingerprint : 0};
    if (m_exported.bytes.empty() || m_exported.key != key || now - m_exported.at > exportLifetime) {
        const json state = json::array({m_readSchedule.age(now).count(),
                                        newer ? json(m_configurationText) : json(),
                                        other ? json(m_catalogue.entries()) : json(),
                                        fleet::encodePosition(m_upstreamsNext)});
        std::string bytes;
        json::to_cbor(state, bytes);
        m_exported = {key, now, compress(bytes)};
    }
    return m_exported.bytes;
}

void StoreReplica::importState(std::string_view compressed, TimePoint requestedAt)
{
    const auto bytes = decompress(compressed);
    if (!bytes) {
        telemetry::writeLog(LogLevel::Warning, "fetch state", "the state cannot be decompressed");
        return;
    }
    try {
        const json state = json::from_cbor(*bytes);
        const Duration age{state.at(0).get<Duration::rep>()};
        if (state.at(1).is_string()) {
            applyConfiguration(state.at(1).get<std::string>(), "instance");
        }
        const bool isCurrent = age < m_readSchedule.age(requestedAt);
        if (state.at(2).is_array() && !importUpstreams(state, isCurrent)) {
            return;
        }
        if (isCurrent) {
            m_readSchedule.advanceAsOf(requestedAt - age);
        }
    } catch (const json::exception &error) {
        telemetry::writeLog(LogLevel::Warning, "fetch state", error.what());
    }
}

/** Returns false if the state cannot be compared with the catalogue. */
bool StoreReplica::importUpstreams(const json &state, bool isCurrent)
{
    constexpr std::size_t throughIndex = 3; // not sent by instances of an earlier version
    const auto through = fleet::decodePosition(state, throughIndex);
    std::vector<fleet::UpstreamEntry> entries;
    for (const json &entry : state.at(2)) {
        entries.push_back(entry.get<fleet::UpstreamEntry>());
    }
    // Without positions, an older state could undo changes that are already applied.
    if (!through && !isCurrent) {
        return false;
    }
    entries = usableEntries(std::move(entries));
    // The state of an instance that has read nothing yet, or an empty store, says of no entry that it is gone.
    const bool lists = isCurrent && (!through || through->offset != 0);
    publishCatalogue(lists ? m_catalogue.replace(entries, through) : m_catalogue.merge(entries, *through));
    if (through) {
        m_upstreamsNext = fleet::advancedTo(m_upstreamsNext, *through);
    }
    return true;
}

} // namespace jackdawdoor::proxy
