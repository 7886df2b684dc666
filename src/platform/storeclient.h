/** HTTP client of the platform's store, with its record formats. */
#pragma once

#include "proxy/outboundconnection.h"
#include "proxy/storeaccess.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::platform {

/** Record of a keyed topic; an empty value deletes the key. */
struct KeyedRecord {
    std::string key;
    std::string value;
    std::optional<std::uint64_t> offset = std::nullopt; ///< nothing if the store doesn't state it

    bool operator==(const KeyedRecord &) const = default;
};

/** Records of a log from an offset on. */
struct LogRecords {
    std::vector<KeyedRecord> records;
    fleet::StorePosition next;

    bool operator==(const LogRecords &) const = default;
};

/** Decodes the answer to log-read; from is the offset of its first record. Nothing if the bytes are malformed. */
std::optional<LogRecords> decodeRecords(std::string_view bytes, const fleet::StorePosition &from);

/** Page of the newest record of each key. */
struct NewestPage {
    std::vector<KeyedRecord> records;
    fleet::StorePosition next;
    bool hasMore = false;
};
/** Decodes the answer to log-newest. Nothing if the text is malformed. */
std::optional<NewestPage> decodeNewest(std::string_view text);

/** Returns the number of the store's history in the head of an answer. Nothing if there is none; an unusable one is logged. */
std::optional<fleet::StoreHistoryNumber> decodeHistory(const net::Headers &headers);

/** Encodes a record of a keyed topic for log-append. */
std::string encodeRecord(const std::string &key, const std::string &value);

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
    void readChanges(const char *topic, const fleet::StorePosition &from, Duration wait, const Continuation<LogRecords> &done);
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
