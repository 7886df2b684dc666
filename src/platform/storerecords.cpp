#include "platform/storerecords.h"

#include "platform/documents.h"
#include "platform/names.h"

#include <map>
#include <utility>

namespace jackdawdoor::platform {

namespace {

proxy::UpstreamChange decodeChange(const KeyedRecord &record, proxy::UpstreamUpdate &update)
{
    proxy::UpstreamChange change{UpstreamId{record.key}, true, {}, std::nullopt};
    if (record.offset) {
        change.position = fleet::StorePosition{update.next.history, *record.offset};
    }
    if (record.value.empty()) {
        return change;
    }
    if (auto entry = decodeUpstream(record.key, record.value)) {
        change.removed = false;
        change.entry = std::move(*entry);
        change.entry.position = change.position;
    } else {
        ++update.unreadable;
    }
    return change;
}

/** Adds records of the history of update.next to the update. An undecodable entry is skipped; it does not remove an upstream, since its key
 * may belong to another writer. */
void addChanges(const std::vector<KeyedRecord> &records, proxy::UpstreamUpdate &update)
{
    for (const KeyedRecord &record : records) {
        const int unreadable = update.unreadable;
        proxy::UpstreamChange change = decodeChange(record, update);
        if (unreadable == update.unreadable) {
            update.changes.push_back(std::move(change));
        }
    }
}

} // namespace

proxy::UpstreamUpdate decodeUpstreams(const std::vector<KeyedRecord> &records, const fleet::StorePosition &next, bool complete)
{
    proxy::UpstreamUpdate update;
    update.next = next;
    update.complete = complete;
    addChanges(records, update);
    return update;
}

proxy::ConfigurationUpdate collectConfigurations(const std::vector<KeyedRecord> &records, const fleet::StorePosition &next, bool complete)
{
    proxy::ConfigurationUpdate update;
    update.next = next;
    update.complete = complete;
    for (const KeyedRecord &record : records) {
        if (record.key == names::configurationKey && !record.value.empty()) {
            update.texts.push_back(record.value);
        }
    }
    return update;
}

membership::InstanceList decodeInstances(const std::vector<KeyedRecord> &records)
{
    std::map<std::string, const KeyedRecord *> newest;
    for (const KeyedRecord &record : records) {
        newest[record.key] = &record;
    }
    membership::InstanceList list;
    for (const auto &[key, record] : newest) {
        if (auto instance = decodeInstance(key, record->value)) {
            list.instances.push_back(std::move(*instance));
        }
    }
    return list;
}

} // namespace jackdawdoor::platform
