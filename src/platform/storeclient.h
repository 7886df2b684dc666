/** Client of the platform's store: its calls and formats over HTTP. Decides nothing. */
#pragma once

#include "proxy/outboundconnection.h"
#include "proxy/storeaccess.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawdoor::platform {

/** One record of a keyed topic; an empty value drops the key. */
struct KeyedRecord {
    std::string key;
    std::string value;
    proxy::StoreOffset offset = 0;

    bool operator==(const KeyedRecord &) const = default;
};

/** Answer to a reading of a log from a position on. */
struct LogRecords {
    std::vector<KeyedRecord> records;
    proxy::StoreOffset next = 0;

    bool operator==(const LogRecords &) const = default;
};

/** Decodes the answer of log-read; from is the offset of its first record. Nothing for malformed bytes. */
std::optional<LogRecords> decodeRecords(std::string_view bytes, proxy::StoreOffset from);

/** Decodes a page of log-newest. Nothing for malformed bytes. */
struct NewestPage {
    std::vector<KeyedRecord> records;
    proxy::StoreOffset next = 0;
    bool hasMore = false;
};
std::optional<NewestPage> decodeNewest(std::string_view text);

/** Bytes of one record of a keyed topic for log-append. */
std::string encodeRecord(const std::string &key, const std::string &value);

/** Calls the store on its own connections. Used on one loop. */
class StoreClient
{
public:
    StoreClient(net::EventLoop &loop, settings::Endpoint store);
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /** The store's address, from changed settings. */
    void setStore(const settings::Endpoint &store);

    /** Hooks of the product; valid as long as this client. onCall is told the name and success of each call. */
    proxy::StoreAccess access(std::function<void(const char *call, bool succeeded)> onCall);

private:
    struct Answer {
        int status = 0;
        std::string body;
    };
    struct Call;
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
    void readNewest(const char *topic,
                    const std::string &after,
                    const std::shared_ptr<NewestPage> &collected,
                    const Continuation<NewestPage> &done);
    void readChanges(const char *topic, proxy::StoreOffset from, Duration wait, const Continuation<LogRecords> &done);
    void readConfiguration(proxy::StoreOffset from, Duration wait, const Continuation<proxy::ConfigurationUpdate> &done);
    void readUpstreams(proxy::StoreOffset from, const Continuation<proxy::UpstreamUpdate> &done);
    void registerInstance(const membership::ListedInstance &self, const Continuation<bool> &done);
    void listInstances(const Continuation<membership::InstanceList> &done);

    net::EventLoop &m_loop;
    settings::Endpoint m_store;
    std::function<void(const char *, bool)> m_onCall;
    std::vector<std::unique_ptr<proxy::OutboundConnection>> m_idle;
    std::map<Call *, std::unique_ptr<Call>> m_calls;
};

} // namespace jackdawdoor::platform
