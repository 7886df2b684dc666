#include "platform/storeclient.h"

#include "platform/documents.h"
#include "platform/names.h"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace jackdawdoor::platform {

namespace {

/** The store normally answers in 4 ms, but takes some hundred times as long when it is slow. */
constexpr Duration callTimeout = std::chrono::milliseconds{1000};
constexpr int ok = 200;
constexpr int gone = 410;
constexpr std::size_t maximumIdle = 2;
/** Bounds how long a long poll on a dead connection can hide a change. */
constexpr std::chrono::seconds storePeerTimeout{3};

Error storeError(const char *call, const std::string &reason)
{
    return {call, "store", reason};
}

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

/** Decodes the newest record of each instance. */
membership::InstanceList listedInstances(const std::vector<KeyedRecord> &records)
{
    std::map<std::string, const KeyedRecord *> newest;
    for (const KeyedRecord &record : records) {
        newest[record.key] = &record;
    }
    membership::InstanceList list;
    for (const auto &[key, record] : newest) {
        const auto document = nlohmann::json::parse(record->value, nullptr, false);
        if (document.is_object()) {
            list.instances.push_back(
                {InstanceId{key}, document.value("address", std::string{}), DataCentreId{document.value("zone", std::string{})}, false});
        }
    }
    return list;
}

} // namespace

/** One call in progress. */
struct StoreClient::Call {
    Call(net::EventLoop &loop, const char *callName, AnswerHook onDone, std::function<void()> onTimeout)
        : name(callName)
        , hook(std::move(onDone))
        , timer(loop, std::move(onTimeout))
    {
    }

    const char *name;
    AnswerHook hook;
    net::Timer timer;
    std::unique_ptr<proxy::OutboundConnection> connection;
    Answer answer;
};

StoreClient::StoreClient(net::EventLoop &loop, settings::Endpoint store)
    : m_loop(loop)
    , m_store(std::move(store))
{
}

StoreClient::~StoreClient() = default;

void StoreClient::setStore(const settings::Endpoint &store)
{
    if (store != m_store) {
        m_store = store;
        m_idle.clear();
    }
}

void StoreClient::call(const char *name,
                       const std::string &method,
                       const std::string &target,
                       const std::string &body,
                       Duration timeout,
                       AnswerHook hook)
{
    auto holder = std::make_shared<Call *>(nullptr);
    auto owned = std::make_unique<Call>(m_loop, name, std::move(hook), [this, holder, name] {
        endCall(*holder, storeError(name, "the call timed out"));
    });
    Call *call = owned.get();
    *holder = call;
    m_calls.emplace(call, std::move(owned));
    while (!m_idle.empty() && !call->connection) {
        if (m_idle.back()->reusable()) {
            call->connection = std::move(m_idle.back());
        }
        m_idle.pop_back();
    }
    if (!call->connection) {
        call->connection = std::make_unique<proxy::OutboundConnection>(m_loop, m_store, std::string{}, storePeerTimeout);
    }
    std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: " + m_store.text() + "\r\n";
    if (!body.empty()) {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    bytes += "\r\n" + body;
    call->timer.set(timeout);
    call->connection->send(bytes,
                           {},
                           false,
                           {[call](const proxy::MessageHead &head) {
                                call->answer.status = head.status;
                                call->answer.history = decodeHistory(head.headers);
                            },
                            [call](std::string_view chunk) {
                                call->answer.body.append(chunk);
                            },
                            [this, call] {
                                endCall(call, std::move(call->answer));
                            },
                            [this, call](proxy::ConnectionFailure failure) {
                                endCall(call, storeError(call->name, proxy::failureName(failure)));
                            }});
}

void StoreClient::endCall(Call *call, const Result<Answer> &answer)
{
    const auto position = m_calls.find(call);
    const std::unique_ptr<Call> owned = std::move(position->second);
    m_calls.erase(position);
    const bool answered = answer.has_value();
    if (answered && call->connection->reusable() && m_idle.size() < maximumIdle) {
        m_idle.push_back(std::move(call->connection));
    }
    m_onCall(call->name, answered && answer.value().status == ok);
    call->hook(answer);
}

void StoreClient::readNewest(const char *topic,
                             const std::string &after,
                             const std::shared_ptr<NewestPage> &collected,
                             const Continuation<NewestPage> &done)
{
    std::string target = std::string("/v1/log-newest?topic=") + topic + "&part=0";
    if (!after.empty()) {
        target += "&after=" + after;
    }
    call("log-newest", "GET", target, {}, callTimeout, [this, topic, collected, done](const Result<Answer> &answer) {
        if (!answer.has_value()) {
            done(answer.error());
            return;
        }
        auto page = answer.value().status == ok ? decodeNewest(answer.value().body) : std::nullopt;
        if (!page) {
            done(storeError("log-newest", "status " + std::to_string(answer.value().status)));
            return;
        }
        page->next.history = answer.value().history;
        if (collected->records.empty()) {
            collected->next = page->next;
        } else if (collected->next.history != page->next.history) {
            done(storeError("log-newest", "the store was restored between two pages"));
            return;
        }
        // The pages are not one snapshot, so later reads start at the lowest of their end offsets.
        collected->next.offset = std::min(collected->next.offset, page->next.offset);
        collected->records.insert(collected->records.end(), page->records.begin(), page->records.end());
        if (page->hasMore && !page->records.empty()) {
            readNewest(topic, page->records.back().key, collected, done);
            return;
        }
        done(*collected);
    });
}

void StoreClient::readChanges(const char *topic, const fleet::StorePosition &from, Duration wait, const Continuation<LogRecords> &done)
{
    const auto waitMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const std::string target = std::string("/v1/log-read?topic=") + topic + "&part=0&from=" + std::to_string(from.offset)
                               + "&wait-ms=" + std::to_string(waitMilliseconds);
    call("log-read", "GET", target, {}, callTimeout + wait, [from, done](const Result<Answer> &answer) {
        if (!answer.has_value()) {
            done(answer.error());
            return;
        }
        auto records = answer.value().status == ok ? decodeRecords(answer.value().body, from) : std::nullopt;
        if (!records) {
            done(storeError("log-read", answer.value().status == gone ? "gone" : "status " + std::to_string(answer.value().status)));
            return;
        }
        if (answer.value().history) {
            records->next.history = answer.value().history;
        }
        done(std::move(*records));
    });
}

void StoreClient::readConfiguration(const fleet::StorePosition &from, Duration wait, const Continuation<proxy::ConfigurationUpdate> &done)
{
    const auto newestConfiguration = [](const std::vector<KeyedRecord> &records) {
        std::string text;
        for (const KeyedRecord &record : records) {
            if (record.key == names::configurationKey) {
                text = record.value;
            }
        }
        return text;
    };
    if (from.offset == 0) {
        readNewest(names::operatorTopic, {}, std::make_shared<NewestPage>(), [done, newestConfiguration](const Result<NewestPage> &page) {
            if (!page.has_value()) {
                done(page.error());
                return;
            }
            done(proxy::ConfigurationUpdate{newestConfiguration(page.value().records), page.value().next, true});
        });
        return;
    }
    readChanges(names::operatorTopic, from, wait, [this, done, newestConfiguration, wait](const Result<LogRecords> &records) {
        if (records.has_value()) {
            done(proxy::ConfigurationUpdate{newestConfiguration(records.value().records), records.value().next, false});
        } else if (records.error().reason == "gone") {
            readConfiguration({}, wait, done);
        } else {
            done(records.error());
        }
    });
}

void StoreClient::readUpstreams(const fleet::StorePosition &from, const Continuation<proxy::UpstreamUpdate> &done)
{
    if (from.offset == 0) {
        readNewest(names::upstreamTopic, {}, std::make_shared<NewestPage>(), [done](const Result<NewestPage> &page) {
            if (!page.has_value()) {
                done(page.error());
                return;
            }
            proxy::UpstreamUpdate update;
            update.next = page.value().next;
            update.complete = true;
            addChanges(page.value().records, update);
            done(std::move(update));
        });
        return;
    }
    readChanges(names::upstreamTopic, from, Duration::zero(), [this, done](const Result<LogRecords> &records) {
        if (records.has_value()) {
            proxy::UpstreamUpdate update;
            update.next = records.value().next;
            addChanges(records.value().records, update);
            done(std::move(update));
        } else if (records.error().reason == "gone") {
            readUpstreams({}, done);
        } else {
            done(records.error());
        }
    });
}

void StoreClient::registerInstance(const membership::ListedInstance &self, const Continuation<bool> &done)
{
    const std::string value = nlohmann::json{{"address", self.address}, {"zone", self.dataCentre.value}}.dump();
    const std::string target = std::string("/v1/log-append?topic=") + names::instanceTopic + "&part=0";
    call("log-append", "POST", target, encodeRecord(self.id.value, value), callTimeout, [done](const Result<Answer> &answer) {
        if (!answer.has_value()) {
            done(answer.error());
        } else if (answer.value().status != ok) {
            done(storeError("log-append", "status " + std::to_string(answer.value().status)));
        } else {
            done(true);
        }
    });
}

void StoreClient::listInstances(const Continuation<membership::InstanceList> &done)
{
    // The whole log in one call. Once its oldest records have been deleted, the newest ones are read in pages.
    readChanges(names::instanceTopic, {}, Duration::zero(), [this, done](const Result<LogRecords> &log) {
        if (log.has_value()) {
            done(listedInstances(log.value().records));
            return;
        }
        if (log.error().reason != "gone") {
            done(log.error());
            return;
        }
        readNewest(names::instanceTopic, {}, std::make_shared<NewestPage>(), [done](const Result<NewestPage> &page) {
            if (!page.has_value()) {
                done(page.error());
                return;
            }
            done(listedInstances(page.value().records));
        });
    });
}

proxy::StoreAccess StoreClient::access(std::function<void(const char *call, bool succeeded)> onCall)
{
    m_onCall = std::move(onCall);
    proxy::StoreAccess hooks;
    hooks.readConfiguration = [this](const fleet::StorePosition &from, Duration wait, const auto &done) {
        readConfiguration(from, wait, done);
    };
    hooks.readUpstreams = [this](const fleet::StorePosition &from, const auto &done) {
        readUpstreams(from, done);
    };
    hooks.registerInstance = [this](const membership::ListedInstance &self, const auto &done) {
        registerInstance(self, done);
    };
    hooks.listInstances = [this](const auto &done) {
        listInstances(done);
    };
    hooks.decodeConfiguration = decodeConfiguration;
    return hooks;
}

} // namespace jackdawdoor::platform
