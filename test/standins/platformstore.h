/** Stand-in for the platform's metadata store: keyed topics of one partition, as PROTOCOL.md describes them. */
#pragma once

#include "standins/standinserver.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jackdawdoor::standins {

/** How the store handles calls. */
enum class StoreFault {
    None,
    Busy, ///< answers 503 without executing the call
    TooMany, ///< answers 429 without executing the call
    Silent, ///< never answers
    LostAnswer, ///< executes an append, then closes the connection without an answer
};

/** In-memory keyed log topics. Methods may be called from any thread. */
class PlatformStore
{
    struct Record {
        std::string key;
        std::string value;
    };
    struct Topic {
        std::vector<Record> records; ///< all records of this history
        std::uint64_t first = 0; ///< first offset that log-read serves
    };

public:
    /** Contents at one moment. */
    using Copy = std::map<std::string, Topic>;

    PlatformStore();

    const StandinServer &server() const;

    /** Appends a record directly; an empty value deletes the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** Compacts a topic: only the newest record of each key remains, readable by log-newest. */
    void compact(const std::string &topic);

    void setFault(StoreFault fault);

    /** Calls that name the topic are answered 503; an empty name ends that. */
    void setUnavailableTopic(const std::string &topic);

    /** Number of records on a page of log-newest; 500 at first. */
    void setPageSize(std::size_t records);

    /** Size in bytes of an answer to log-read; a larger record comes alone. */
    void setReadSize(std::size_t bytes);

    /** Adds an item to each page of log-newest, before its records; the text is JSON. */
    void setStrangeItem(const std::string &item);

    /** Returns a copy from which the store can be restored. */
    Copy copy();

    /** Restores the store from a copy: what was written since is gone, offsets are given out again, and the number of the
     * history that all answers carry rises by one. */
    void restore(const Copy &copy);

    /** Number of calls received so far. */
    int calls();

    /** Value of the newest record of a key, or an empty string. */
    std::string newest(const std::string &topic, const std::string &key);

private:
    void handle(const StandinServer::Exchange &exchange, const net::RequestContent &request);
    void answer(const StandinServer::Exchange &exchange, const net::RequestContent &request);
    void answerRead(const StandinServer::Exchange &exchange, const std::string &target, Duration waited);
    void answerNewest(const StandinServer::Exchange &exchange, const std::string &target);
    void answerAppend(const StandinServer::Exchange &exchange, const net::RequestContent &request);

    void reply(const StandinServer::Exchange &exchange, int status, const std::string &body) const;

    Copy m_topics;
    int m_history = 1;
    std::vector<StandinServer::Exchange> m_silent; ///< never answered
    StoreFault m_fault = StoreFault::None;
    std::string m_unavailableTopic;
    std::size_t m_pageSize = 500;
    std::size_t m_readSize = std::size_t{1024} * 1024;
    std::string m_strangeItem;
    int m_calls = 0;
    StandinServer m_server; // last, so that its thread ends before the state goes
};

} // namespace jackdawdoor::standins
