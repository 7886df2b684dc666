/** Callers that follow docs/callers.md, for demonstrations with real processes.
 *
 * They ask where to go, keep the answer, send reads and orders with idempotency keys, resend a key after a lost answer
 * and, now and then, after a good one, start anew only when told that the order did not run, and ask for outcomes.
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

/** What the callers do. */
struct CallersPlan {
    std::vector<std::string> instances; ///< callers' addresses "ip:port" that they know from the start
    std::string customer;
    std::string readService;
    std::string readPath;
    std::string orderService;
    std::string orderPath;
    int readers = 8;
    int orderers = 4;
    Duration readPause = std::chrono::milliseconds{60}; ///< of one reader between its reads
    Duration orderPause = std::chrono::milliseconds{150};
    Duration length = std::chrono::seconds{10};

    bool operator==(const CallersPlan &) const = default;
};

/** How requests ended. */
struct CallersCount {
    std::uint64_t sent = 0; ///< reads or orders; resends are not counted
    std::uint64_t answered = 0;
    std::uint64_t upstreamErrors = 0; ///< answers with an upstream's error status
    std::uint64_t refusedNotRun = 0;
    std::uint64_t refusedUnknown = 0;
    std::uint64_t lost = 0; ///< neither an answer nor an outcome

    bool operator==(const CallersCount &) const = default;
};

/** One order and each key under which it was sent. */
struct SentOrder {
    std::vector<std::string> keys;
    bool saidNotRun = false; ///< the last answer was that it did not run
};

/** Runs the plan in threads of its own. */
class Callers
{
public:
    explicit Callers(CallersPlan plan);

    /** Sends until the plan's length has passed and each request has ended. */
    void run();

    CallersCount reads;
    CallersCount orders;
    std::uint64_t resends = 0; ///< of a key that had been answered
    std::uint64_t changedAnswers = 0; ///< resends whose answer differs from the first
    std::vector<SentOrder> sentOrders;

private:
    /** A held answer of /v1/place. */
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
        NoAnswer, ///< no address gave an answer
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
