#include "platform/storeclient.h"

#include "platform/documents.h"
#include "platform/names.h"
#include "platform/storerecords.h"

#include <utility>

namespace jackdawdoor::platform {

namespace {

constexpr std::size_t maximumIdle = 2;
/** Bounds how long a long poll on a dead connection can hide a change. */
constexpr std::chrono::seconds storePeerTimeout{3};

} // namespace

namespace detail {

Error storeError(const char *call, const std::string &reason)
{
    return {call, "store", reason};
}

std::string statusText(int status)
{
    return "status " + std::to_string(status);
}

} // namespace detail

using detail::storeError;

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
    m_onCall(call->name, answered && answer.value().status == detail::ok);
    call->hook(answer);
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
        } else if (records.error().reason == detail::goneReason) {
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
        } else if (records.error().reason == detail::goneReason) {
            readUpstreams({}, done);
        } else {
            done(records.error());
        }
    });
}

void StoreClient::registerInstance(const membership::ListedInstance &self, const Continuation<bool> &done)
{
    const std::string target = std::string("/v1/log-append?topic=") + names::instanceTopic + "&part=0";
    call("log-append",
         "POST",
         target,
         encodeRecord(self.id.value, encodeInstance(self)),
         detail::callTimeout,
         [done](const Result<Answer> &answer) {
             if (!answer.has_value()) {
                 done(answer.error());
             } else if (answer.value().status != detail::ok) {
                 done(storeError("log-append", detail::statusText(answer.value().status)));
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
        if (log.error().reason != detail::goneReason) {
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
