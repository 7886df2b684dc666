#include "proxy/storefeed.h"

#include "net/httpfetch.h"
#include "proxy/compression.h"
#include "proxy/usableentry.h"
#include "telemetry/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jackdawdoor::proxy {

using nlohmann::json;
using telemetry::LogLevel;

namespace {

/** A reader's request for changes of the configuration waits this long at the store; a change ends it at once. One that is
 * swallowed just before the store is back ends, with the call's time limit, within the three seconds that the pages allow. */
constexpr Duration configurationWait = std::chrono::milliseconds{800};
/** Changes in quick succession are read together. */
constexpr Duration configurationPause = std::chrono::milliseconds{200};
/** First pause after a failed reading; doubles up to the longest. Refused calls are paid for too. */
constexpr Duration firstPause = std::chrono::milliseconds{500};
constexpr int maximumDoublings = 1;
/** An instance counts as reading the store for this long after a reading. */
constexpr Duration readingIsFresh = std::chrono::milliseconds{1000};
constexpr Duration fetchTimeout = std::chrono::milliseconds{800};
/** An exported copy is given out for so long. The age that it states stays true enough for the age of knowledge. */
constexpr Duration exportLifetime = std::chrono::milliseconds{200};

/** Without the entries of another instance that name no upstream to use. */
std::vector<fleet::UpstreamEntry> usableEntries(std::vector<fleet::UpstreamEntry> entries)
{
    const std::size_t unusable = std::erase_if(entries, [](const fleet::UpstreamEntry &entry) {
        return !isUsableEntry(entry);
    });
    if (unusable > 0) {
        telemetry::writeLog(LogLevel::Warning,
                            "take upstreams",
                            "entries of another instance name no upstream and are passed over",
                            {{"entries", std::to_string(unusable)}});
    }
    return entries;
}

} // namespace

StoreFeed::StoreFeed(net::EventLoop &loop, StoreAccess access, InstanceId self, DataCentreId dataCentre, StoreFeedHooks hooks)
    : m_loop(loop)
    , m_access(std::move(access))
    , m_duty(std::move(self), std::move(dataCentre))
    , m_hooks(std::move(hooks))
{
}

void StoreFeed::tick(TimePoint now, const membership::MembershipView &view)
{
    if (m_duty.shouldRead(now, view) && now >= m_retryAt && !m_upstreamsPending) {
        read(now);
    }
}

void StoreFeed::read(TimePoint now)
{
    m_duty.recordRead(now);
    m_upstreamsPending = true;
    m_access.readUpstreams(m_upstreamsNext, [this, now](const Result<UpstreamReading> &reading) {
        m_upstreamsPending = false;
        if (reading.has_value()) {
            takeUpstreams(reading.value());
        }
        readingEnded(now, reading.has_value(), reading.has_value() ? nullptr : &reading.error());
    });
    // While the store fails, one call at a time finds out when it is back.
    if (!m_storeReached || m_configurationPending || now - m_configurationAsked < configurationPause) {
        return;
    }
    m_configurationPending = true;
    m_configurationAsked = now;
    m_access.readConfiguration(m_configurationNext, configurationWait, [this, round = m_configurationRound](const auto &reading) {
        if (round != m_configurationRound) {
            return; // given up when the store failed
        }
        m_configurationPending = false;
        if (!reading.has_value()) {
            telemetry::writeLog(LogLevel::Warning, "read configuration", reading.error().message());
            return;
        }
        m_configurationNext = reading.value().next;
        if (!reading.value().text.empty()) {
            takeConfiguration(reading.value().text, "store");
        }
    });
}

void StoreFeed::readingEnded(TimePoint began, bool succeeded, const Error *error)
{
    if (succeeded) {
        m_duty.advanceAsOf(began);
        m_lastRead = net::now();
        m_failures = 0;
        if (!m_storeReached) {
            telemetry::writeLog(LogLevel::Info, "read store", "the store answers again");
        }
        m_storeReached = true;
        return;
    }
    if (m_storeReached) {
        telemetry::writeLog(
            LogLevel::Warning, "read store", error->message(), {{"age-ms", std::to_string(m_duty.age(began).count() / 1000)}});
    }
    m_storeReached = false;
    // A waiting reading may have been lost with the others and would never be answered.
    m_configurationPending = false;
    ++m_configurationRound;
    m_retryAt = net::now() + firstPause * (1 << std::min(m_failures, maximumDoublings));
    ++m_failures;
}

void StoreFeed::takeConfiguration(const std::string &text, const char *source)
{
    const auto table = m_access.decodeConfiguration(text);
    if (!table.has_value()) {
        telemetry::writeLog(LogLevel::Error, "take configuration", table.error().message(), {{"source", source}});
        return;
    }
    if (m_table && table.value()->version() <= m_table->version()) {
        return;
    }
    m_table = table.value();
    m_configurationText = text;
    telemetry::writeLog(
        LogLevel::Info, "take configuration", "in force", {{"version", std::to_string(m_table->version())}, {"source", source}});
    m_hooks.onConfiguration(m_table);
}

void StoreFeed::takeUpstreams(const UpstreamReading &reading)
{
    if (reading.unreadable > 0) {
        telemetry::writeLog(LogLevel::Warning,
                            "read upstreams",
                            "entries that name no upstream are passed over",
                            {{"entries", std::to_string(reading.unreadable)}});
    }
    bool changed = false;
    fleet::UpstreamDelta delta;
    if (reading.complete) {
        std::vector<fleet::UpstreamEntry> entries;
        for (const UpstreamChange &change : reading.changes) {
            if (!change.removed) {
                entries.push_back(change.entry);
            }
        }
        changed = m_catalogue.replace(entries);
    } else {
        for (const UpstreamChange &change : reading.changes) {
            const auto effect = change.removed ? m_catalogue.remove(change.id) : m_catalogue.apply(change.entry);
            if (effect == fleet::CatalogueChange::Nothing) {
                continue;
            }
            changed = true;
            if (change.removed) {
                delta.tombstones.push_back(*m_catalogue.tombstone(change.id));
            } else {
                delta.entries.push_back(change.entry);
            }
        }
    }
    m_upstreamsNext = reading.next;
    if (changed) {
        publishCatalogue();
    }
    if (!delta.entries.empty() || !delta.tombstones.empty()) {
        m_hooks.onDelta(delta);
    }
}

void StoreFeed::takeDelta(const fleet::UpstreamDelta &delta)
{
    bool changed = false;
    for (const fleet::UpstreamEntry &entry : usableEntries(delta.entries)) {
        changed = m_catalogue.apply(entry) != fleet::CatalogueChange::Nothing || changed;
    }
    for (const fleet::UpstreamTombstone &departed : delta.tombstones) {
        changed = m_catalogue.remove(departed) != fleet::CatalogueChange::Nothing || changed;
    }
    if (changed) {
        publishCatalogue();
    }
}

void StoreFeed::publishCatalogue()
{
    const std::uint64_t fingerprint = m_catalogue.fingerprint();
    if (fingerprint != m_fingerprint) {
        int ready = 0;
        for (const fleet::UpstreamEntry &entry : m_catalogue.entries()) {
            ready += entry.status == fleet::UpstreamStatus::Ready ? 1 : 0;
        }
        telemetry::writeLog(LogLevel::Info,
                            "take upstreams",
                            "changed",
                            {{"ready", std::to_string(ready)}, {"known", std::to_string(m_catalogue.entries().size())}});
    }
    m_fingerprint = fingerprint;
    m_hooks.onUpstreams();
}

void StoreFeed::takeNotice(TimePoint now, const fleet::StoreNotice &notice, const settings::Endpoint &stateAddress)
{
    const TimePoint asOf = now - notice.age;
    const bool olderVersion = notice.configurationVersion > (m_table ? m_table->version() : 0);
    const bool otherUpstreams = notice.catalogue != m_fingerprint && notice.age < m_duty.age(now);
    if (!olderVersion && notice.catalogue == m_fingerprint) {
        m_duty.advanceAsOf(asOf);
        return;
    }
    if ((olderVersion || otherUpstreams) && !m_fetching) {
        fetchState(stateAddress);
    }
}

void StoreFeed::fetchState(const settings::Endpoint &from)
{
    m_fetching = true;
    const TimePoint asked = net::now();
    net::FetchRequest request;
    request.url = "http://" + from.text() + "/state?configuration=" + std::to_string(m_table ? m_table->version() : 0)
                  + "&catalogue=" + std::to_string(m_fingerprint);
    request.timeout = fetchTimeout;
    net::fetch(m_loop, request, [this, asked, from](const Result<net::FetchAnswer> &answer) {
        m_fetching = false;
        constexpr int ok = 200;
        if (!answer.has_value() || answer.value().status != ok) {
            const std::string reason = answer.has_value() ? "status " + std::to_string(answer.value().status) : answer.error().reason;
            telemetry::writeLog(LogLevel::Warning, "fetch state", reason, {{"peer", from.text()}});
            return;
        }
        importState(answer.value().body, asked);
    });
}

std::string StoreFeed::exportState(std::uint64_t configurationVersion, std::uint64_t catalogue, TimePoint now)
{
    const bool newer = m_table && m_table->version() > configurationVersion;
    const bool other = catalogue != m_fingerprint;
    // All instances of a data centre ask for the same change at the same time.
    const StateKey key{newer ? m_table->version() : 0, other ? m_fingerprint : 0};
    if (m_exported.bytes.empty() || m_exported.key != key || now - m_exported.at > exportLifetime) {
        const json whole = json::array(
            {m_duty.age(now).count(), newer ? json(m_configurationText) : json(), other ? json(m_catalogue.entries()) : json()});
        std::string bytes;
        json::to_cbor(whole, bytes);
        m_exported = {key, now, compress(bytes)};
    }
    return m_exported.bytes;
}

void StoreFeed::importState(std::string_view compressed, TimePoint asked)
{
    const auto bytes = decompress(compressed);
    if (!bytes) {
        telemetry::writeLog(LogLevel::Warning, "fetch state", "malformed");
        return;
    }
    try {
        const json whole = json::from_cbor(*bytes);
        const Duration age{whole.at(0).get<Duration::rep>()};
        if (whole.at(1).is_string()) {
            takeConfiguration(whole.at(1).get<std::string>(), "instance");
        }
        // Knowledge that is older than one's own must not undo a change that is already known.
        if (age >= m_duty.age(asked)) {
            return;
        }
        if (whole.at(2).is_array()) {
            std::vector<fleet::UpstreamEntry> entries;
            for (const json &entry : whole.at(2)) {
                entries.push_back(entry.get<fleet::UpstreamEntry>());
            }
            if (m_catalogue.replace(usableEntries(std::move(entries)))) {
                publishCatalogue();
            }
        }
        m_duty.advanceAsOf(asked - age);
    } catch (const json::exception &error) {
        telemetry::writeLog(LogLevel::Warning, "fetch state", error.what());
    }
}

fleet::StoreNotice StoreFeed::notice(TimePoint now) const
{
    return {m_table ? m_table->version() : 0, m_fingerprint, m_duty.age(now)};
}

bool StoreFeed::readsStore(TimePoint now) const
{
    return m_lastRead != TimePoint{} && now - m_lastRead < readingIsFresh;
}

Duration StoreFeed::age(TimePoint now) const
{
    return m_duty.age(now);
}

const fleet::UpstreamCatalogue &StoreFeed::catalogue() const
{
    return m_catalogue;
}

bool StoreFeed::ready() const
{
    return m_table != nullptr;
}

} // namespace jackdawdoor::proxy
