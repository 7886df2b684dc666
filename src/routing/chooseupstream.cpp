#include "routing/chooseupstream.h"

#include <algorithm>

namespace jackdawdoor::routing {

namespace {

using health::Standing;

/** An upstream without requests for this long is chosen next, because faults are detected only by requests. */
constexpr Duration maximumUnusedTime = std::chrono::milliseconds{100};

/** Classifies the candidates and makes the decision. */
class Choice
{
public:
    Choice(const RoutingRequest &request, const std::vector<RoutingCandidate> &candidates, RandomSource &random)
        : m_request(request)
        , m_candidates(candidates)
        , m_random(random)
        , m_reasons(candidates.size(), PassedOverReason::NotDrawn)
    {
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            classify(index);
        }
        if (m_usable.empty()) {
            m_usable = m_notPreferred;
        }
    }

    RoutingDecision decide()
    {
        if (m_request.idempotent && chooseRandom(m_trials, ChoiceReason::Trial)) {
            m_decision.kind = health::AttemptKind::Trial;
            m_decision.newConnection = true;
            return finish();
        }
        const bool checkChosen = m_request.idempotent && chooseMostSevere(m_checks, ChoiceReason::Check);
        if (!checkChosen && !chooseUnused() && !chooseShorterWait()) {
            chooseLastResort();
        }
        return finish();
    }

private:
    void classify(std::size_t index)
    {
        const auto &candidate = m_candidates[index];
        const auto standing = candidate.state.standing;
        const auto &excluded = m_request.excluded;
        if (std::find(excluded.begin(), excluded.end(), candidate.upstream) != excluded.end()) {
            m_reasons[index] = PassedOverReason::Excluded;
        } else if (standing == Standing::Draining || standing == Standing::Leaving) {
            m_reasons[index] = standing == Standing::Draining ? PassedOverReason::Draining : PassedOverReason::Leaving;
        } else if (standing == Standing::Ejected || standing == Standing::Probation) {
            m_reasons[index] = PassedOverReason::Ejected;
            if (candidate.state.trialDue && candidate.freeSlots > 0) {
                m_trials.push_back(index);
            }
        } else if (candidate.freeSlots <= 0) {
            m_reasons[index] = PassedOverReason::NoSlot;
            m_anyWithoutSlot = true;
        } else {
            classifyUsable(index);
        }
    }

    void classifyUsable(std::size_t index)
    {
        const auto &state = m_candidates[index].state;
        if (state.checkDue) {
            m_checks.push_back(index);
        }
        if (state.standing == Standing::Suspect) {
            m_reasons[index] = PassedOverReason::Suspect;
            m_lastResort.push_back(index);
        } else if (state.share < 1 && uniform(m_random) >= state.share) {
            m_reasons[index] = PassedOverReason::Ramping;
            m_lastResort.push_back(index);
        } else if (!state.preferred) {
            m_reasons[index] = PassedOverReason::NotPreferred;
            m_notPreferred.push_back(index);
        } else {
            m_usable.push_back(index);
        }
    }

    std::size_t randomIndex(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>{0, bound - 1}(m_random);
    }

    bool chooseRandom(const std::vector<std::size_t> &among, ChoiceReason reason)
    {
        if (among.empty()) {
            return false;
        }
        choose(among[randomIndex(among.size())], reason);
        return true;
    }

    bool chooseMostSevere(const std::vector<std::size_t> &among, ChoiceReason reason)
    {
        const auto worst = std::max_element(among.begin(), among.end(), [this](std::size_t left, std::size_t right) {
            return m_candidates[left].state.severity < m_candidates[right].state.severity;
        });
        if (worst == among.end()) {
            return false;
        }
        choose(*worst, reason);
        return true;
    }

    bool chooseUnused()
    {
        const auto longest = std::max_element(m_usable.begin(), m_usable.end(), [this](std::size_t left, std::size_t right) {
            return m_candidates[left].state.idleTime < m_candidates[right].state.idleTime;
        });
        if (longest == m_usable.end()) {
            return false;
        }
        const auto &state = m_candidates[*longest].state;
        if (state.idleTime < maximumUnusedTime || state.inProgress > 0 || state.share < 1) {
            return false;
        }
        choose(*longest, ChoiceReason::Unused);
        return true;
    }

    double expectedWait(std::size_t index) const
    {
        const auto &candidate = m_candidates[index];
        return toSeconds(candidate.expectedLatency) * (candidate.state.inProgress + 1) / std::max(candidate.state.share, 0.01);
    }

    bool chooseShorterWait()
    {
        if (m_usable.empty()) {
            return false;
        }
        if (m_usable.size() == 1) {
            choose(m_usable.front(), ChoiceReason::OnlyOne);
            return true;
        }
        const auto first = randomIndex(m_usable.size());
        auto second = randomIndex(m_usable.size() - 1);
        second += second >= first ? 1 : 0;
        const bool firstIsBetter = expectedWait(m_usable[first]) <= expectedWait(m_usable[second]);
        choose(m_usable[firstIsBetter ? first : second], ChoiceReason::ShorterWait);
        m_reasons[m_usable[firstIsBetter ? second : first]] = PassedOverReason::LongerWait;
        return true;
    }

    void chooseLastResort()
    {
        const auto least = std::min_element(m_lastResort.begin(), m_lastResort.end(), [this](std::size_t left, std::size_t right) {
            return m_candidates[left].state.severity < m_candidates[right].state.severity;
        });
        if (least != m_lastResort.end()) {
            choose(*least, ChoiceReason::LastResort);
        } else {
            m_decision.reason = m_anyWithoutSlot ? ChoiceReason::NoSlot : ChoiceReason::NoUpstream;
        }
    }

    void choose(std::size_t index, ChoiceReason reason)
    {
        m_decision.choice = index;
        m_decision.reason = reason;
        m_decision.newConnection = m_candidates[index].state.newConnection;
    }

    RoutingDecision finish()
    {
        m_decision.passedOver.reserve(m_candidates.size());
        for (std::size_t index = 0; index < m_candidates.size(); ++index) {
            if (index != m_decision.choice) {
                m_decision.passedOver.push_back({index, m_reasons[index]});
            }
        }
        return std::move(m_decision);
    }

    const RoutingRequest &m_request;
    const std::vector<RoutingCandidate> &m_candidates;
    RandomSource &m_random;
    RoutingDecision m_decision;
    std::vector<PassedOverReason> m_reasons;
    std::vector<std::size_t> m_trials;
    std::vector<std::size_t> m_checks;
    std::vector<std::size_t> m_usable;
    std::vector<std::size_t> m_notPreferred;
    std::vector<std::size_t> m_lastResort;
    bool m_anyWithoutSlot = false;
};

} // namespace

RoutingDecision
chooseUpstream(TimePoint /*now*/, const RoutingRequest &request, const std::vector<RoutingCandidate> &candidates, RandomSource &random)
{
    return Choice{request, candidates, random}.decide();
}

std::string reasonName(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::Trial:
        return "trial";
    case ChoiceReason::Check:
        return "check";
    case ChoiceReason::Unused:
        return "unused";
    case ChoiceReason::ShorterWait:
        return "shorter-wait";
    case ChoiceReason::OnlyOne:
        return "only-one";
    case ChoiceReason::LastResort:
        return "last-resort";
    case ChoiceReason::NoSlot:
        return "no-slot";
    case ChoiceReason::NoUpstream:
        return "no-upstream";
    }
    return "unknown";
}

std::string reasonName(PassedOverReason reason)
{
    switch (reason) {
    case PassedOverReason::Excluded:
        return "excluded";
    case PassedOverReason::Ejected:
        return "ejected";
    case PassedOverReason::Draining:
        return "draining";
    case PassedOverReason::Leaving:
        return "leaving";
    case PassedOverReason::NoSlot:
        return "no-slot";
    case PassedOverReason::Suspect:
        return "suspect";
    case PassedOverReason::Ramping:
        return "ramping";
    case PassedOverReason::NotPreferred:
        return "not-preferred";
    case PassedOverReason::LongerWait:
        return "longer-wait";
    case PassedOverReason::NotDrawn:
        return "not-drawn";
    }
    return "unknown";
}

std::string describePassedOver(const RoutingDecision &decision, const std::vector<RoutingCandidate> &candidates)
{
    std::string text;
    for (const auto &passed : decision.passedOver) {
        if (!text.empty()) {
            text += ", ";
        }
        text += candidates[passed.candidate].upstream.value + " " + reasonName(passed.reason);
    }
    return text;
}

} // namespace jackdawdoor::routing
