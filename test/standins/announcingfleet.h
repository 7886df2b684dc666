/** Instances before upstreams that announce something about themselves in their answers, and callers that use them. */
#pragma once

#include "base/time.h"
#include "standins/platformstore.h"
#include "standins/proxyinstance.h"
#include "standins/scriptedupstream.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jackdawdoor::standins {

/** Upstream that adds a header line to each answer while it has something to announce. */
class AnnouncingUpstream
{
public:
    explicit AnnouncingUpstream(Duration answerTime = {});

    std::string address() const;

    /** Header line of the following answers, such as "Server-Limit: 2"; an empty text announces nothing. */
    void announce(const std::string &headerLine);

    /** Rejects requests with 503, without running them, and with this Retry-After; an empty text accepts them again. */
    void reject(const std::string &retryAfter);

    void setAnswerTime(Duration answerTime);

    int arrivals();

    /** Times of all arrivals, in order. */
    std::vector<TimePoint> arrivalTimes();

    /** Number of answers with a header line. */
    int announcements();

private:
    ScriptedReply answer(const ReceivedRequest &request);

    std::mutex m_mutex;
    std::string m_headerLine;
    std::string m_retryAfter;
    Duration m_answerTime;
    std::vector<TimePoint> m_arrivals;
    int m_announcements = 0;
    ScriptedUpstream m_server; // last, so that its threads end before the state goes
};

/** Options of a fleet. */
struct AnnouncingFleetOptions {
    int instances = 3;
};

/** Instances before the given upstreams of one service, and callers that use the instances in turn. */
class AnnouncingFleet
{
public:
    explicit AnnouncingFleet(const std::vector<AnnouncingUpstream *> &upstreams, const AnnouncingFleetOptions &options = {});

    PlatformStore &store();

    /** Writes the upstream's entry, as a heartbeat of the same process. */
    void writeEntry(std::size_t upstream);

    /** Writes the upstream's entry as that of a new process with the same id. */
    void restartUpstream(std::size_t upstream);

    void removeEntry(std::size_t upstream);

    /** Waits until all instances know this number of upstreams. */
    void waitForUpstreams(std::size_t count);

    /** Sends a request every 25 ms for the given time, each on a connection and a thread of its own. */
    void load(Duration time, const std::string &method, const std::string &path);

    /** Sends a request to the first instance and returns its answer. */
    std::string send(const std::string &method, const std::string &path);

    int served() const;

    /** Requests refused within half a second with a Retry-After. */
    int refused() const;

    /** Refused requests without Retry-After, other failures, and refusals that came late. */
    int badAnswers() const;

private:
    void record(const std::string &answer, Duration took);

    PlatformStore m_store;
    std::vector<AnnouncingUpstream *> m_upstreams;
    std::vector<std::int64_t> m_births;
    int m_sequence = 1;
    std::vector<std::unique_ptr<ProxyInstance>> m_instances;
    std::size_t m_sent = 0;
    std::atomic<int> m_served{0};
    std::atomic<int> m_refused{0};
    std::atomic<int> m_badAnswers{0};
};

/** Value in seconds of an answer's Retry-After; zero if there is none. */
double retryAfterSeconds(const std::string &answer);

} // namespace jackdawdoor::standins
