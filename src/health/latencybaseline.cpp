#include "health/latencybaseline.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::health {

namespace {

/** Weight of a new answer after the first ones: roughly the last 20 answers count. */
constexpr double minimumWeight = 0.1;
/** Answers before an upstream's mean is used. */
constexpr int minimumAnswers = 3;
/** Answers before an upstream's spread is used. */
constexpr int minimumAnswersForSpread = 20;
/** Largest step of the logarithm, so that one hanging request does not move the mean far. */
constexpr double maximumStep = 1.5;
/** Initial spread, and its lower bound: with a smaller one, ordinary noise would count as slowness. */
constexpr double assumedSpread = 0.5;
constexpr double smallestSpread = 0.4;
/** Standard deviation of a normal variable in units of its mean absolute deviation. */
constexpr double deviationFactor = 1.2533;

/** Upstreams without an answer for this long are ignored, as they do not show whether the whole service has become slow. */
constexpr Duration recentAnswerTime = std::chrono::seconds{10};
/** Answers between two computations of the medians; computing them at each answer costs several times as much. */
constexpr int refreshInterval = 8;

double medianOfSorted(const std::vector<double> &values)
{
    const auto middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

Duration fromLog(double logarithm)
{
    return Duration{static_cast<Duration::rep>(std::lround(std::exp(logarithm)))};
}

} // namespace

LatencyBaseline::LatencyBaseline(std::size_t upstreams)
    : m_upstreams(upstreams)
{
}

void LatencyBaseline::rearrange(TimePoint now, const UpstreamMapping &mapping)
{
    m_upstreams = mapping.size();
    for (auto &[operation, row] : m_rows) {
        detail::rearrange(row.cells, mapping, Cell{});
        refresh(now, row);
    }
}

void LatencyBaseline::add(TimePoint now, const OperationId &operation, std::size_t upstream, Duration latency)
{
    auto &row = m_rows[operation];
    if (row.cells.empty()) {
        row.cells.resize(m_upstreams);
        row.spread = assumedSpread;
    }
    auto &cell = row.cells[upstream];
    const double logarithm = std::log(static_cast<double>(std::max<Duration::rep>(latency.count(), 1)));
    if (cell.count == 0) {
        cell.meanLog = logarithm;
    }
    cell.lastAdded = now;
    cell.count = std::min(cell.count + 1, minimumAnswersForSpread);
    const double weight = std::max(1.0 / cell.count, minimumWeight);
    const double difference = std::clamp(logarithm - cell.meanLog, -maximumStep, maximumStep);
    cell.meanLog += weight * difference;
    cell.meanDeviation += weight * (std::abs(difference) - cell.meanDeviation);
    ++row.addedSince;
    if (row.addedSince >= refreshInterval || cell.count <= minimumAnswers) {
        refresh(now, row);
    }
}

void LatencyBaseline::refresh(TimePoint now, Row &row) const
{
    row.addedSince = 0;
    std::vector<std::size_t> order;
    std::vector<double> deviations;
    for (std::size_t index = 0; index < m_upstreams; ++index) {
        row.cells[index].rank = m_upstreams;
        if (row.cells[index].count >= minimumAnswers && now - row.cells[index].lastAdded <= recentAnswerTime) {
            order.push_back(index);
        }
        if (row.cells[index].count >= minimumAnswersForSpread) {
            deviations.push_back(row.cells[index].meanDeviation);
        }
    }
    std::sort(order.begin(), order.end(), [&row](std::size_t left, std::size_t right) {
        return row.cells[left].meanLog < row.cells[right].meanLog;
    });
    row.sorted.clear();
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        row.cells[order[rank]].rank = rank;
        row.sorted.push_back(row.cells[order[rank]].meanLog);
    }
    if (deviations.size() >= 2) {
        std::sort(deviations.begin(), deviations.end());
        row.spread = std::max(smallestSpread, medianOfSorted(deviations) * deviationFactor);
    }
}

std::optional<Duration> LatencyBaseline::median(const OperationId &operation) const
{
    const auto found = m_rows.find(operation);
    if (found == m_rows.end() || found->second.sorted.empty()) {
        return std::nullopt;
    }
    return fromLog(medianOfSorted(found->second.sorted));
}

std::optional<double> LatencyBaseline::siblingMedianLog(const OperationId &operation, std::size_t upstream) const
{
    const auto found = m_rows.find(operation);
    if (found == m_rows.end()) {
        return std::nullopt;
    }
    const auto &sorted = found->second.sorted;
    const auto own = found->second.cells[upstream].rank;
    const auto siblings = sorted.size() - (own < sorted.size() ? 1 : 0);
    if (siblings < 2) {
        return std::nullopt;
    }
    const auto sibling = [&sorted, own](std::size_t position) {
        return sorted[position < own ? position : position + 1];
    };
    const auto middle = siblings / 2;
    return siblings % 2 == 1 ? sibling(middle) : (sibling(middle - 1) + sibling(middle)) / 2;
}

std::optional<Duration> LatencyBaseline::ownLatency(const OperationId &operation, std::size_t upstream) const
{
    const auto found = m_rows.find(operation);
    if (found == m_rows.end() || found->second.cells[upstream].count == 0) {
        return std::nullopt;
    }
    return fromLog(found->second.cells[upstream].meanLog);
}

double LatencyBaseline::spread(const OperationId &operation) const
{
    const auto found = m_rows.find(operation);
    return found == m_rows.end() ? assumedSpread : found->second.spread;
}

} // namespace jackdawdoor::health
