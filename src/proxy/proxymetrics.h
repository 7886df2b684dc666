/** Counters and latency histograms of the proxy, in a prometheus-cpp registry. */
#pragma once

#include "base/time.h"
#include "limits/memoryaccount.h"

#include <memory>
#include <string>
#include <string_view>

namespace jackdawdoor::proxy {

/** Metrics of one process. */
class ProxyMetrics
{
public:
    ProxyMetrics();
    ~ProxyMetrics();
    ProxyMetrics(const ProxyMetrics &) = delete;
    ProxyMetrics &operator=(const ProxyMetrics &) = delete;

    /** Counts a final answer and its latency. outcome is the reason in the log line. */
    void countRequest(std::string_view outcome, Duration took);

    /** Counts a request that was rejected for want of a valid API key. reason: see routing::rejectionName. */
    void countAuthenticationFailure(std::string_view reason);

    /** Counts an ended attempt. */
    void countAttempt(std::string_view service, std::string_view reason);

    /** Counts a crash of an upstream by a request. source: who found it, "own" or "other-instance". */
    void countCrash(std::string_view source);

    /** Counts a change of an upstream's rate limit, found in an answer to this instance. change: "announced" or "ended". */
    void countRateLimitChange(std::string_view change);

    /** Counts an upstream that has announced that it leaves. source: who found it, "own" or "other-instance". */
    void countLeaving(std::string_view source);

    /** Counts a rejection with which an upstream asked this instance for a rest. */
    void countRest();

    /** Counts a restoration of the store from a copy. */
    void countStoreRestoration();

    /** Counts a request of an organisation with a quota. outcome: "admitted", "refused" or "given-back". */
    void countQuota(std::string_view outcome);

    /** Counts items of other instances' quota reports that were ignored as invalid. */
    void countInvalidQuotaItems(int items);

    /** Organisations whose quota is in use, and the part of the reporting instances that are heard from. */
    void setQuotaState(std::size_t organisations, double visibleShare);

    /** Counts an ended call to the store. */
    void countStoreCall(std::string_view call, bool succeeded);

    /** Total number of log lines that were dropped because the reader of the log was too slow. */
    void setDroppedLines(std::uint64_t lines);

    /** Counts a request, answer or connection that ended because of a limit. reason: as in the log line. */
    void countLimited(std::string_view reason);

    /** Memory of bodies, answers and input, by kind, and its limit. */
    void setMemory(const limits::MemoryAccount &account);

    /** Number of callers' connections and its limit. */
    void setCallers(std::size_t connections, std::size_t limit);

    /** All metrics in the Prometheus text format. */
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace jackdawdoor::proxy
