/** Counters and histograms of the process, in a prometheus-cpp registry. */
#pragma once

#include "base/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace jackdawdoor::telemetry {

/** Metrics of one process. All methods may be called from any thread. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** A request ended; result is "answered", "refused", "broken" or "caller-gone". */
    void countRequest(std::string_view customer, std::string_view operation, std::string_view result);

    /** An attempt ended; end is the name of its core::AttemptEnd. */
    void countAttempt(std::string_view customer, std::string_view end);

    /** A request was refused at the stage with that name. */
    void countRefusal(std::string_view stage);

    /** An upstream was ejected. */
    void countEjection(std::string_view customer);

    /** A decision of that kind was logged. */
    void countDecision(std::string_view kind);

    /** A request has begun (+1) or ended (-1). */
    void addInFlight(int change);

    /** Records the time that a request spent in this process, without the attempt that answered it. */
    void observeAddedLatency(Duration latency);

    /** All metrics in the Prometheus text format. */
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace jackdawdoor::telemetry
