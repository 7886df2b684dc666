/** Callers that follow docs/callers.md, for demonstrations with real processes.
 *
 * They request a placement and cache it, and send reads and orders with idempotency keys. They resend a key after a lost
 * answer and sometimes after a successful one, query outcomes, and use a new key only after being told that the order did
 * not run.
 */
#pragma once

#include "base/time.h"
#include "net/httpfetch.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jackdawdoor::standins {

/** Load and targets of the callers. */
struct CallersPlan {
    std::vector<std::string> instances; ///< addresses "ip:port" for callers, known from the start
    std::string customer;
    std::string readService;
    std::string readPath;
    std::string orderService;
    std::string orderPath;
    int readers = 8;
    int orderers = 4;
    Duration readPause = std::chrono::milliseconds{60}; ///< pause of one reader between its reads
    Duration orderPause = std::chrono::milliseconds{150};
    Duration length = std::chrono::seconds{10};

    bool operator==(const CallersPlan &) const = default;
};

/** Number of requests by result. */
struct CallersCount {
    std::uint64_t sent = 0; ///< reads or orders; resends are not counted
    std::uint64_t answered = 0;
    std::uint64_t upstreamErrors = 0; ///< answers with an error status from an upstream
    std::uint64_t refusedNotRun = 0;
    std::uint64_t refusedUnknown = 0;
    std::uint64_t lost = 0; ///< neither an answer nor an outcome was obtained

    bool operator==(const CallersCount &) const = default;
};

/** One order and all keys it was sent with. */
struct SentOrder {
    std::vector<std::string> keys;
    bool saidNotRun = false; ///< the last answer said that it did not run
};

/** Runs the plan on its own threads. */
class Callers
{
public:
    explicit Callers(CallersPlan plan);

    /** Sends for the plan's length and waits until each request has ended. */
    void run();

    CallersCount reads;
    CallersCount orders;
    std::uint64_t resends = 0; ///< resends of a key that had already been answered
    std::uint64_t changedAnswers = 0; ///< resends whose answer differs from the first
    std::vector<SentOrder> sentOrders;

private:
    /** Cached answer of /v1/place. */
    struct Place {
        std::vector<std::string> addresses;
        std::string ticket;
        TimePoint heldUntil;
    };

    enum class End {
        Answered,
        UpstreamError,
        NotRun,
        Unknown,
        NoAnswer, ///< no address answered
    };

    struct Answer {
        End end = End::NoAnswer;
        std::string body;
        Duration retryAfter{};
    };

    void readUntil(TimePoint end, int number);
    void orderUntil(TimePoint end, int number);
    Answer order(const std::string &caller, Place &place, SentOrder &sent, const std::string &body);
    void resend(const Place &place, const std::string &key, const std::string &body, const std::string &first);
    Answer outcome(const Place &place, const std::string &key);
    void refresh(Place &place, const std::string &service, const std::string &caller) const;
    Answer ask(const Place &place, const net::FetchRequest &request, const std::string &target, std::size_t firstAddress = 0) const;
    void count(CallersCount &counts, End end);

    CallersPlan m_plan;
    std::atomic<std::uint64_t> m_nextOrder = 0;
    std::atomic<std::uint64_t> m_nextNonce = 0;
    std::mutex m_mutex; ///< of the public counts
};

} // namespace jackdawdoor::standins
