#include "platform/storeclient.h"

#include "platform/documents.h"
#include "platform/names.h"
#include "platform/storerecords.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawdoor::platform {

namespace {

/** The store normally answers in 4 ms, but takes some hundred times as long when it is slow. */
constexpr Duration callTimeout = std::chrono::milliseconds{1000};
constexpr int ok = 200;
constexpr int gone = 410;
/** Reason of an error when the store no longer has the records that were asked for. */
constexpr const char *goneReason = "gone";
constexpr std::size_t maximumIdle = 2;
/** Bounds how long a long poll on a dead connection can hide a change. */
constexpr std::chrono::seconds storePeerTimeout{3};

Error storeError(const char *call, const std::string &reason)
{
    return {call, "store", reason};
}

std::string statusText(int status)
{
    return "status " + std::to_string(status);
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

/** A read of the newest record of each key, page by page. */
struct StoreClient::NewestRead {
    const char *topic = nullptr;
    Continuation<NewestPage> done;
    NewestPage collected;
    std::optional<std::string> after; ///< last key of the previous page
    std::size_t pages = 0; ///< read so far

    Error error(const std::string &reason) const
    {
        return storeError("log-newest", reason + ", topic " + topic + ", page " + std::to_string(pages + 1));
    }
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

void StoreClient::readNewest(const char *topic, const Continuation<NewestPage> &done)
{
    const auto read = std::make_shared<NewestRead>();
    read->topic = topic;
    read->done = done;
    readNextPage(read);
}

void StoreClient::readNextPage(const std::shared_ptr<NewestRead> &read)
{
    std::string target = std::string("/v1/log-newest?topic=") + read->topic + "&part=0";
    if (read->after) {
        target += "&after=" + net::encodeQueryValue(*read->after);
    }
    call("log-newest", "GET", target, {}, callTimeout, [this, read](const Result<Answer> &answer) {
        if (answer.has_value()) {
            onPage(read, answer.value());
        } else {
            read->done(read->error(answer.error().reason));
        }
    });
}

void StoreClient::onPage(const std::shared_ptr<NewestRead> &read, const Answer &answer)
{
    auto page = answer.status == ok ? decodeNewest(answer.body) : std::nullopt;
    if (!page) {
        read->done(read->error(answer.status == ok ? "the page cannot be decoded" : statusText(answer.status)));
        return;
    }
    page->next.history = answer.history;
    NewestPage &collected = read->collected;
    if (read->pages == 0) {
        collected.next = page->next;
    } else if (collected.next.history != page->next.history) {
        read->done(read->error("the store was restored between two pages"));
        return;
    }
    ++read->pages;
    // The pages are not one snapshot, so later reads start at the lowest of their end offsets.
    collected.next.offset = std::min(collected.next.offset, page->next.offset);
    collected.unreadable += page->unreadable;
    const std::optional<std::string> last = page->records.empty() ? std::nullopt : std::optional(page->records.back().key);
    std::move(page->records.begin(), page->records.end(), std::back_inserter(collected.records));
    if (!page->hasMore) {
        read->done(std::move(collected));
    } else if (!last || last == read->after) {
        // Neither the rest of the list is known, nor can it be asked for.
        read->done(read->error("the page does not lead to the next one"));
    } else {
        read->after = last;
        readNextPage(read);
    }
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
            done(storeError("log-read", answer.value().status == gone ? goneReason : statusText(answer.value().status)));
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
    if (from.offset == 0) {
        readNewest(names::operatorTopic, [done](const Result<NewestPage> &page) {
            if (page.has_value()) {
                done(collectConfigurations(page.value().records, page.value().next, true));
            } else {
                done(page.error());
            }
        });
        return;
    }
    readChanges(names::operatorTopic, from, wait, [this, done, wait](const Result<LogRecords> &records) {
        if (records.has_value()) {
            done(collectConfigurations(records.value().records, records.value().next, false));
        } else if (records.error().reason == goneReason) {
            readConfiguration({}, wait, done);
        } else {
            done(records.error());
        }
    });
}

void StoreClient::readUpstreams(const fleet::StorePosition &from, const Continuation<proxy::UpstreamUpdate> &done)
{
    if (from.offset == 0) {
        readNewest(names::upstreamTopic, [done](const Result<NewestPage> &page) {
            if (page.has_value()) {
                proxy::UpstreamUpdate update = decodeUpstreams(page.value().records, page.value().next, true);
                update.unreadable += static_cast<int>(page.value().unreadable);
                done(std::move(update));
            } else {
                done(page.error());
            }
        });
        return;
    }
    readChanges(names::upstreamTopic, from, Duration::zero(), [this, done](const Result<LogRecords> &records) {
        if (records.has_value()) {
            done(decodeUpstreams(records.value().records, records.value().next, false));
        } else if (records.error().reason == goneReason) {
            readUpstreams({}, done);
        } else {
            done(records.error());
        }
    });
}

void StoreClient::registerInstance(const membership::ListedInstance &self, const Continuation<bool> &done)
{
    const std::string target = std::string("/v1/log-append?topic=") + names::instanceTopic + "&part=0";
    call(
        "log-append", "POST", target, encodeRecord(self.id.value, encodeInstance(self)), callTimeout, [done](const Result<Answer> &answer) {
            if (!answer.has_value()) {
                done(answer.error());
            } else if (answer.value().status != ok) {
                done(storeError("log-append", statusText(answer.value().status)));
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
            done(decodeInstances(log.value().records));
            return;
        }
        if (log.error().reason != goneReason) {
            done(log.error());
            return;
        }
        readNewest(names::instanceTopic, [done](const Result<NewestPage> &page) {
            if (page.has_value()) {
                done(decodeInstances(page.value().records));
            } else {
                done(page.error());
            }
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
