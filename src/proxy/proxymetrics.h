/** Counters and latency histograms of the proxy, in a prometheus-cpp registry. */
#pragma once

#include "base/time.h"

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

    /** A request got its final answer after some time. outcome as in the log line. */
    void countRequest(std::string_view outcome, Duration took);

    /** An attempt ended. */
    void countAttempt(std::string_view service, std::string_view reason);

    /** A call to the store ended. */
    void countStoreCall(std::string_view call, bool succeeded);

    /** Log lines that were dropped because the reader was too slow, in total. */
    void setDroppedLines(std::uint64_t lines);

    /** All metrics in the Prometheus text format. */
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace jackdawdoor::proxy
