/** The part of GrayDetector that compares an upstream with its siblings. */
#include "health/graydetector.h"

#include <algorithm>
#include <cmath>

namespace jackdawdoor::health {

namespace {

/** Failure rate of a gray upstream that the test looks for; lower ones are found too, but later. */
constexpr double grayFailureRate = 0.5;
/** Lower bound of the healthy failure rate: a service that never failed must not eject on its first two errors. */
constexpr double smallestFailureRate = 0.005;
constexpr double largestFailureRate = 0.9;
/** Siblings that answered nothing for this long do not count: they do not show whether the service fails as a whole. */
constexpr Duration recentAnswerTime = std::chrono::seconds{10};
/** Evidence that an upstream differs from its siblings since the first bad answer, without which it is not ejected: a fault
 * of the whole service begins with the same bad answers. A slow service also moves the baseline, so less is needed there. */
constexpr double minimumErrorsLikelihoodRatio = 5.5;
constexpr double minimumSlownessLikelihoodRatio = 3.0;
/** Latest answers of a sibling that count for the siblingLikelihoodRatio; checks of another suspect must not outweigh healthy siblings. */
constexpr int maximumAnswersPerSibling = 3;
/** Latest answers of all siblings that must be good. A fault of the service that begins just after a chance error of one
 * upstream would otherwise be contrasted with good answers from before it. */
constexpr std::size_t latestAnswersCompared = 2;
/** Margins added to the threshold for slowness. Without them a day of noisy health with 200 requests/s over 25 upstreams
 * ejected one healthy upstream during a hiccup of a second, which gives the more answers the higher the rate is. */
constexpr double slownessMarginFactor = 2;
/** Up to this rate of answers the contrasts above hold; each e-fold more answers give e times as many chances to err. */
constexpr double marginFreeAnswersPerSecond = 30;
/** Part of the siblingLikelihoodRatio that supports another instance's evidence, as half of the threshold does for the score. */
constexpr double corroborationFraction = 0.5;

} // namespace

double GrayDetector::grayRate(double healthyRate)
{
    return std::max(grayFailureRate, (1 + healthyRate) / 2);
}

double GrayDetector::healthyFailureRate(TimePoint now, std::size_t upstream) const
{
    std::vector<double> shares;
    shares.reserve(m_upstreams.size());
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        if (index != upstream && m_upstreams[index].answered && now - m_upstreams[index].lastAnswer <= recentAnswerTime) {
            shares.push_back(m_upstreams[index].failureShare);
        }
    }
    if (shares.empty()) {
        return smallestFailureRate;
    }
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return std::clamp(*middle, smallestFailureRate, largestFailureRate);
}

bool GrayDetector::isGray(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    const auto running = inProgressEvidence(now, upstream);
    if (state.badAnswers + running.slow < m_policy.minimumBadAnswers) {
        return false;
    }
    const double margin = std::log(std::max(1.0, m_answersPerSecond / marginFreeAnswersPerSecond));
    if (state.errors >= m_policy.ejectionThreshold) {
        return siblingLikelihoodRatio(now, upstream) >= minimumErrorsLikelihoodRatio + margin;
    }
    // Open connections can go silent while the upstream is well, so requests that hang on them count once at most.
    const double hanging = running.fresh + std::min(running.total - running.fresh, SlownessTest::maximumStep);
    const double threshold = m_policy.ejectionThreshold + slownessMarginFactor * margin;
    if (std::min(state.slowness, currentSlowness(upstream)) + hanging < threshold) {
        return false;
    }
    return siblingLikelihoodRatio(now, upstream) >= minimumSlownessLikelihoodRatio + margin;
}

double GrayDetector::corroboration(TimePoint now, std::size_t upstream) const
{
    const auto &state = m_upstreams[upstream];
    const auto running = inProgressEvidence(now, upstream);
    const double slowness = std::min(state.slowness, currentSlowness(upstream)) + running.fresh;
    const double needed = state.errors >= slowness ? minimumErrorsLikelihoodRatio : minimumSlownessLikelihoodRatio;
    if (siblingLikelihoodRatio(now, upstream) < needed * corroborationFraction) {
        return 0;
    }
    return std::max(state.errors, slowness);
}

double GrayDetector::currentSlowness(std::size_t upstream) const
{
    // The score was gathered against earlier baselines. When the whole service becomes slow, the baseline follows within
    // some answers, and against the present one the upstream no longer stands out.
    const auto &state = m_upstreams[upstream];
    double sum = 0;
    for (const auto &answer : state.recent) {
        if (!answer.failed && answer.at >= state.suspectSince) {
            sum = std::max(0.0, sum + slownessRatio(answer.operation, upstream, answer.latency, false));
        }
    }
    return sum;
}

bool GrayDetector::isBad(const Answer &answer, std::size_t subject) const
{
    // All answers are judged by the baseline of the one upstream in question, or a baseline that is on its way from one
    // latency to another would make the same latency slow for one upstream and normal for the next.
    return answer.failed || slownessRatio(answer.operation, subject, answer.latency, false) > 0;
}

bool GrayDetector::areLatestSiblingAnswersGood(std::size_t upstream) const
{
    std::vector<const Answer *> latest;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        const auto &recent = m_upstreams[index].recent;
        const auto count = index == upstream ? 0 : std::min(recent.size(), latestAnswersCompared);
        std::for_each(recent.rbegin(), recent.rbegin() + static_cast<std::ptrdiff_t>(count), [&latest](const Answer &answer) {
            latest.push_back(&answer);
        });
    }
    const auto count = std::min(latest.size(), latestAnswersCompared);
    const auto end = latest.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(latest.begin(), end, latest.end(), [](const Answer *left, const Answer *right) {
        return left->at > right->at;
    });
    return std::none_of(latest.begin(), end, [this, upstream](const Answer *answer) {
        return isBad(*answer, upstream);
    });
}

double GrayDetector::siblingLikelihoodRatio(TimePoint now, std::size_t upstream) const
{
    if (!areLatestSiblingAnswersGood(upstream)) {
        return 0;
    }
    const auto &state = m_upstreams[upstream];
    const auto running = inProgressEvidence(now, upstream);
    const bool scored = state.errors > 0 || state.slowness > 0;
    const auto since = scored ? state.suspectSince : running.earliest;
    AnswerCounts own{0, running.slow};
    for (const auto &answer : state.recent) {
        own.add(isBad(answer, upstream), answer.at >= since);
    }
    AnswerCounts others;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        if (index == upstream) {
            continue;
        }
        int counted = std::min(inProgressEvidence(now, index).slow, maximumAnswersPerSibling);
        others.bad += counted;
        const auto &recent = m_upstreams[index].recent;
        // Only requests sent after the first evidence show how the sibling is since then.
        for (auto answer = recent.rbegin(); answer != recent.rend() && counted < maximumAnswersPerSibling; ++answer) {
            const bool counts = answer->started >= since;
            others.add(isBad(*answer, upstream), counts);
            counted += counts ? 1 : 0;
        }
    }
    return logLikelihoodRatio(own, others);
}

} // namespace jackdawdoor::health
