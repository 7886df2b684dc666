#include "proxy/storereplica.h"

#include "telemetry/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jackdawdoor::proxy {

using telemetry::LogLevel;

namespace {

/** Long-poll time of a reader's request for configuration changes; the store answers at once when there is a change. A request
 * that is lost just before an outage of the store ends must time out, including the call timeout, within the 3 s that the
 * platform's specification allows. */
constexpr Duration configurationLongPoll = std::chrono::milliseconds{800};
/** Minimum time between configuration reads, so that changes in quick succession are read together. */
constexpr Duration minimumConfigurationInterval = std::chrono::milliseconds{200};
/** An instance counts as reading the store for this long after a successful read. */
constexpr Duration recentReadLifetime = std::chrono::milliseconds{1000};

} // namespace

StoreReplica::StoreReplica(net::EventLoop &loop, StoreAccess access, InstanceId self, DataCentreId dataCentre, StoreReplicaHooks hooks)
    : m_loop(loop)
    , m_access(std::move(access))
    , m_readSchedule(std::move(self), std::move(dataCentre))
    , m_hooks(std::move(hooks))
{
}

void StoreReplica::beginFleetStart(TimePoint now, double random)
{
    m_readSchedule.beginFleetStart(now, random);
}

void StoreReplica::tick(TimePoint now, const membership::MembershipView &view)
{
    // While the store is away, upstreams cannot confirm their entries.
    const TimePoint asOf = now - m_readSchedule.age(now);
    publishCatalogue(asOf != TimePoint{} && m_catalogue.expireUnconfirmed(asOf));
    if (m_readSchedule.shouldRead(now, view)) {
        read(now);
    }
}

void StoreReplica::read(TimePoint now)
{
    const bool upstreamsDue = m_upstreamsRead.due(now);
    const bool configurationDue = m_configurationRead.due(now) && now - m_configurationRead.begunAt() >= minimumConfigurationInterval;
    if (upstreamsDue || configurationDue) {
        m_readSchedule.recordRead(now);
    }
    if (upstreamsDue) {
        readUpstreams(now, m_upstreamsNext);
    }
    if (configurationDue) {
        readConfiguration(now, m_configurationNext, configurationLongPoll);
    }
}

void StoreReplica::readUpstreams(TimePoint now, const fleet::StorePosition &from)
{
    m_access.readUpstreams(from, [this, now, from, read = m_upstreamsRead.begin(now)](const Result<UpstreamUpdate> &update) {
        if (update.has_value()) {
            onUpstreamsRead(read, now, from, update.value());
        } else {
            onUpstreamsFailed(read, now, update.error());
        }
    });
}

void StoreReplica::onUpstreamsRead(StoreRead::Number read,
                                   TimePoint beginTime,
                                   const fleet::StorePosition &from,
                                   const UpstreamUpdate &update)
{
    if (!observeHistory(beginTime, update.next.history)) {
        onUpstreamsFailed(read, beginTime, {"read upstreams", "store", "the answer is from before the store was restored"});
        return;
    }
    if (!update.complete && !fleet::continues(from, update.next)) {
        readUpstreams(net::now(), {});
        return;
    }
    m_upstreamsRead.succeed(read);
    applyUpstreams(update);
    m_readSchedule.advanceAsOf(beginTime);
    m_lastRead = net::now();
    if (!std::exchange(m_upstreamsReadable, true)) {
        telemetry::writeLog(LogLevel::Info, "read upstreams", "the upstreams can be read again");
        // A long poll that was pending meanwhile may have been lost, and would block further ones until its own timeout.
        m_configurationRead.abandon();
    }
}

void StoreReplica::onUpstreamsFailed(StoreRead::Number read, TimePoint beginTime, const Error &error)
{
    m_upstreamsRead.fail(net::now(), read);
    if (std::exchange(m_upstreamsReadable, false)) {
        telemetry::writeLog(LogLevel::Warning,
                            "read upstreams",
                            error.message(),
                            {{"age-ms", std::to_string(m_readSchedule.age(beginTime).count() / 1000)}});
    }
}

void StoreReplica::readConfiguration(TimePoint now, const fleet::StorePosition &from, Duration wait)
{
    m_access.readConfiguration(from, wait, [this, now, from, read = m_configurationRead.begin(now)](const auto &update) {
        if (update.has_value()) {
            onConfigurationRead(read, now, from, update.value());
        } else if (m_configurationRead.fail(net::now(), read)) {
            telemetry::writeLog(LogLevel::Warning, "read configuration", update.error().message());
        }
    });
}

void StoreReplica::onConfigurationRead(StoreRead::Number read,
                                       TimePoint beginTime,
                                       const fleet::StorePosition &from,
                                       const ConfigurationUpdate &update)
{
    if (!observeHistory(beginTime, update.next.history)) {
        m_configurationRead.succeed(read);
        return;
    }
    if (!update.complete && !fleet::continues(from, update.next)) {
        readConfiguration(net::now(), {}, Duration::zero());
        return;
    }
    // An answer that comes after its read was abandoned may still hold a higher version.
    applyHighest(update.texts);
    if (m_configurationRead.succeed(read)) {
        m_configurationNext = update.next;
    }
}

/** Returns false if the answer was sent before the store was restored. */
bool StoreReplica::observeHistory(TimePoint beginTime, const std::optional<fleet::StoreHistoryNumber> &stated)
{
    noteRestoration(stated, "store");
    const auto before = m_history.present();
    const bool isCurrent = m_history.observe(net::now(), beginTime, stated);
    if (isCurrent && stated && before && *stated < *before) {
        m_catalogue.forgetHistoriesAfter(*stated);
    }
    return isCurrent;
}

void StoreReplica::noteRestoration(const std::optional<fleet::StoreHistoryNumber> &stated, const char *source)
{
    if (m_history.tellsRestoration(stated)) {
        telemetry::writeLog(LogLevel::Warning,
                            "read store",
                            "the store was restored from a copy",
                            {{"history", std::to_string(*stated)}, {"source", source}});
        m_hooks.onRestored();
    }
}

void StoreReplica::applyConfiguration(const std::string &text, const char *source)
{
    const auto table = m_access.decodeConfiguration(text);
    if (!table.has_value()) {
        telemetry::writeLog(LogLevel::Error, "apply configuration", table.error().message(), {{"source", source}});
        return;
    }
    if (m_table && table.value()->version() <= m_table->version()) {
        return;
    }
    m_table = table.value();
    m_configurationText = text;
    telemetry::writeLog(
        LogLevel::Info, "apply configuration", "in force", {{"version", std::to_string(m_table->version())}, {"source", source}});
    m_hooks.onConfiguration(m_table);
}

/** Applies the highest of the versions that can be decoded. The last one is nearly always the highest. */
void StoreReplica::applyHighest(const std::vector<std::string> &texts)
{
    std::for_each(texts.rbegin(), texts.rend(), [this](const std::string &text) {
        applyConfiguration(text, "store");
    });
}

void StoreReplica::applyUpstreams(const UpstreamUpdate &update)
{
    if (update.unreadable > 0) {
        telemetry::writeLog(LogLevel::Warning,
                            "read upstreams",
                            "ignoring entries that cannot be decoded",
                            {{"entries", std::to_string(update.unreadable)}});
    }
    if (update.complete) {
        const bool changed = applyAllUpstreams(update);
        m_upstreamsNext = update.next;
        publishCatalogue(changed);
        return;
    }
    bool changed = false;
    const fleet::UpstreamDelta delta = applyChangedUpstreams(update.changes, changed);
    // Another instance's state may have told of later records meanwhile.
    m_upstreamsNext = fleet::continues(m_upstreamsNext, update.next) ? fleet::advancedTo(m_upstreamsNext, update.next) : update.next;
    publishCatalogue(changed);
    if (!delta.entries.empty() || !delta.tombstones.empty()) {
        m_hooks.onDelta(delta);
    }
}

bool StoreReplica::applyAllUpstreams(const UpstreamUpdate &update)
{
    std::vector<fleet::UpstreamEntry> entries;
    for (const UpstreamChange &change : update.changes) {
        if (!change.removed) {
            entries.push_back(change.entry);
        }
    }
    const bool restored = !fleet::continues(m_upstreamsNext, update.next);
    telemetry::writeLog(LogLevel::Info,
                        "read upstreams",
                        restored ? "all, of a restored store" : "all",
                        {{"from", std::to_string(m_upstreamsNext.offset)},
                         {"next", std::to_string(update.next.offset)},
                         {"entries", std::to_string(entries.size())}});
    return restored ? m_catalogue.restore(net::now(), entries, update.next) : m_catalogue.replace(entries, update.next);
}

/** Returns what is now known of the upstreams whose records were not known. changed: set if the contents of any have changed. */
fleet::UpstreamDelta StoreReplica::applyChangedUpstreams(const std::vector<UpstreamChange> &changes, bool &changed)
{
    std::set<UpstreamId> renewed;
    for (const UpstreamChange &change : changes) {
        const std::uint64_t revision = m_catalogue.revision();
        const auto effect = change.removed ? m_catalogue.remove(change.id, change.position) : m_catalogue.apply(change.entry);
        changed = changed || effect != fleet::CatalogueChange::Nothing;
        if (m_catalogue.revision() != revision) {
            renewed.insert(change.id);
        }
    }
    fleet::UpstreamDelta delta;
    for (const UpstreamId &id : renewed) {
        if (const fleet::UpstreamEntry *entry = m_catalogue.find(id)) {
            delta.entries.push_back(*entry);
        } else if (const auto tombstone = m_catalogue.tombstone(id)) {
            delta.tombstones.push_back(*tombstone);
        }
    }
    return delta;
}

/** Takes note of a change of the catalogue. changed: also of its contents, not only of their positions in the store. */
void StoreReplica::publishCatalogue(bool changed)
{
    if (m_catalogue.revision() != m_publishedRevision) {
        m_publishedRevision = m_catalogue.revision();
        m_fingerprint = m_catalogue.fingerprint();
    }
    if (!changed) {
        return;
    }
    const std::vector<fleet::UpstreamEntry> entries = m_catalogue.entries();
    const auto ready = std::count_if(entries.begin(), entries.end(), [](const fleet::UpstreamEntry &entry) {
        return entry.status == fleet::UpstreamStatus::Ready;
    });
    telemetry::writeLog(
        LogLevel::Info, "apply upstreams", "changed", {{"ready", std::to_string(ready)}, {"known", std::to_string(entries.size())}});
    m_hooks.onUpstreams();
}

bool StoreReplica::readsStore(TimePoint now) const
{
    return m_lastRead != TimePoint{} && now - m_lastRead < recentReadLifetime;
}

Duration StoreReplica::age(TimePoint now) const
{
    return m_readSchedule.age(now);
}

const fleet::UpstreamCatalogue &StoreReplica::catalogue() const
{
    return m_catalogue;
}

bool StoreReplica::ready() const
{
    return m_table != nullptr;
}

} // namespace jackdawdoor::proxy
