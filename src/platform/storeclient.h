/** HTTP client of the platform's store. */
#pragma once

#include "platform/storeformat.h"
#include "proxy/outboundconnection.h"
#include "proxy/storeaccess.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::platform {

namespace detail {

/** The store normally answers in 4 ms, but takes some hundred times as long when it is slow. */
constexpr Duration callTimeout = std::chrono::milliseconds{1000};
constexpr int ok = 200;
/** Reason of an error when the store no longer has the records that were asked for. */
constexpr const char *goneReason = "gone";

Error storeError(const char *call, const std::string &reason);

std::string statusText(int status);

} // namespace detail

/** Calls the store over its own connections. Used on one loop. */
class StoreClient
{
public:
    StoreClient(net::EventLoop &loop, settings::Endpoint store);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /** Changes the address of the store; idle connections to the old one are closed. */
    void setStore(const settings::Endpoint &store);

    /** Hooks for the proxy; valid as long as this client. onCall receives the name and success of each call. */
    proxy::StoreAccess access(std::function<void(const char *call, bool succeeded)> onCall);

private:
    struct Answer {
        int status = 0;
        std::optional<fleet::StoreHistoryNumber> history;
        std::string body;
    };
    struct Call;
    struct NewestRead;
    using AnswerHook = std::function<void(const Result<Answer> &)>;
    template <typename Value>
    using Continuation = proxy::StoreAccess::Continuation<Value>;

    void call(const char *name,
              const std::string &method,
              const std::string &target,
              const std::string &body,
              Duration timeout,
              AnswerHook hook);
    void endCall(Call *call, const Result<Answer> &answer);
    void readNewest(const char *topic, const Continuation<NewestPage> &done);
    void readNextPage(const std::shared_ptr<NewestRead> &read);
    void onPage(const std::shared_ptr<NewestRead> &read, const Answer &answer);
    void readChanges(const char *topic, const fleet::StorePosition &from, Duration wait, const Continuation<LogRecords> &done);
    void
    readNextChanges(const char *topic, const std::shared_ptr<LogRecords> &collected, Duration wait, const Continuation<LogRecords> &done);
    void
    onChanges(const char *topic, const std::shared_ptr<LogRecords> &collected, const Answer &answer, const Continuation<LogRecords> &done);
    void readConfiguration(const fleet::StorePosition &from, Duration wait, const Continuation<proxy::ConfigurationUpdate> &done);
    void readUpstreams(const fleet::StorePosition &from, const Continuation<proxy::UpstreamUpdate> &done);
    void registerInstance(const membership::ListedInstance &self, const Continuation<bool> &done);
    void listInstances(const Continuation<membership::InstanceList> &done);

    net::EventLoop &m_loop;
    settings::Endpoint m_store;
    std::function<void(const char *, bool)> m_onCall;
    std::vector<std::unique_ptr<proxy::OutboundConnection>> m_idle;
    std::map<Call *, std::unique_ptr<Call>> m_calls;
};

} // namespace jackdawdoor::platform
