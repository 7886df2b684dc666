#include "limits/requestqueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace jackdawdoor::limits {

namespace {

/** Deficit that an organisation gains in each round; covers a request of cost 1. */
constexpr int quantum = 1;
/** Bounds the rounds that pop() needs to reach an expensive request. */
constexpr int largestCost = 64;
/** Weight of the newest interval in the moving average of the service time. */
constexpr double serviceTimeSmoothing = 0.1;
constexpr double admissionAveragingSeconds = 1; ///< time over which the rate of admissions is averaged
/** A pause this many times longer than the average interval indicates that the service has become slower. */
constexpr double stallFactor = 4;

} // namespace

RequestQueue::RequestQueue(std::size_t bound)
    : m_bound(bound)
{
}

PushResult RequestQueue::push(TimePoint now, const QueuedRequest &request)
{
    PushResult result;
    if (m_byId.empty()) {
        m_lastServed = now;
    }
    result.expectedWait = expectedWaitOf(now, request);
    if (now + result.expectedWait >= request.deadline) {
        result.admission = QueueAdmission::DeadlineTooShort;
        return result;
    }
    if (m_byId.size() >= m_bound) {
        result.displaced = displaceFor(request);
        if (!result.displaced) {
            result.admission = QueueAdmission::QueueFull;
            return result;
        }
    }
    auto found = m_byName.find(request.organisation);
    if (found == m_byName.end()) {
        m_activeOrganisations.push_back({request.organisation, {}, 0, false});
        found = m_byName.emplace(request.organisation, std::prev(m_activeOrganisations.end())).first;
    }
    recordAdmission(now);
    const Order order{request.deadline, m_nextArrival++};
    auto stored = request;
    stored.cost = std::clamp(request.cost, 1, largestCost);
    found->second->items.insert({order, std::move(stored)});
    m_byId.emplace(request.id, std::pair{request.organisation, order});
    m_byDeadline.emplace(request.deadline, request.id);
    return result;
}

std::optional<QueuedRequest> RequestQueue::pop(TimePoint now)
{
    std::size_t withoutLiveRequest = 0;
    while (withoutLiveRequest < m_activeOrganisations.size()) {
        auto &organisation = m_activeOrganisations.front();
        const auto item = organisation.items.upper_bound({{now, std::numeric_limits<std::uint64_t>::max()}, {}});
        const bool live = item != organisation.items.end();
        if (live && !organisation.hasQuantum) {
            organisation.hasQuantum = true;
            organisation.deficit += quantum;
        }
        if (live && organisation.deficit >= item->request.cost) {
            organisation.deficit -= item->request.cost;
            const bool last = std::next(item) == organisation.items.end();
            const bool turnEnds = !last && organisation.deficit < std::next(item)->request.cost;
            if (turnEnds) {
                endTurn();
                return take(std::prev(m_activeOrganisations.end()), item);
            }
            return take(m_activeOrganisations.begin(), item);
        }
        withoutLiveRequest = live ? 0 : withoutLiveRequest + 1;
        endTurn();
    }
    return std::nullopt;
}

void RequestQueue::endTurn()
{
    m_activeOrganisations.front().hasQuantum = false;
    m_activeOrganisations.splice(m_activeOrganisations.end(), m_activeOrganisations, m_activeOrganisations.begin());
}

std::vector<std::uint64_t> RequestQueue::takeExpired(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        expired.push_back(m_byDeadline.begin()->second);
        remove(expired.back());
    }
    return expired;
}

bool RequestQueue::remove(std::uint64_t id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return false;
    }
    const auto organisation = m_byName.find(found->second.first)->second;
    take(organisation, organisation->items.find({found->second.second, {}}));
    return true;
}

QueuedRequest RequestQueue::take(OrganisationIterator organisation, std::set<Item>::iterator item)
{
    auto request = item->request;
    organisation->items.erase(item);
    m_byId.erase(request.id);
    m_byDeadline.erase({request.deadline, request.id});
    if (organisation->items.empty()) {
        m_byName.erase(organisation->name);
        m_activeOrganisations.erase(organisation);
    }
    return request;
}

void RequestQueue::onServed(TimePoint now)
{
    // Intervals without waiting requests depend on the arrival rate, not on the service rate.
    if (!m_byId.empty() && m_lastServed) {
        const double interval = toSeconds(now - *m_lastServed);
        const double weight = m_secondsPerRequest == 0 ? 1 : serviceTimeSmoothing;
        m_secondsPerRequest += weight * (interval - m_secondsPerRequest);
    }
    m_lastServed = now;
}

std::size_t RequestQueue::size() const
{
    return m_byId.size();
}

Duration RequestQueue::expectedWait(TimePoint now) const
{
    return waitFor(now, m_activeOrganisations.size());
}

Duration RequestQueue::expectedWaitOf(TimePoint now, const QueuedRequest &request) const
{
    std::size_t ownAhead = 0;
    if (const auto found = m_byName.find(request.organisation); found != m_byName.end()) {
        const auto &items = found->second->items;
        const auto position = items.upper_bound({{request.deadline, std::numeric_limits<std::uint64_t>::max()}, {}});
        ownAhead = static_cast<std::size_t>(std::distance(items.begin(), position));
    }
    std::size_t othersAhead = 0;
    std::size_t others = 0;
    for (const auto &organisation : m_activeOrganisations) {
        if (organisation.name != request.organisation) {
            othersAhead += std::min(organisation.items.size(), ownAhead + 1);
            ++others;
        }
    }
    const auto presentWait = waitFor(now, ownAhead + othersAhead);
    // Other organisations' requests that arrive meanwhile are served before ours until each has had as many turns.
    const double ofOthers = static_cast<double>(others) / static_cast<double>(others + 1);
    const double arriving = m_admittedPerSecond * ofOthers * toSeconds(presentWait);
    const double atMost = static_cast<double>((ownAhead + 1) * others - othersAhead);
    return waitFor(now, ownAhead + othersAhead + static_cast<std::size_t>(std::min(arriving, atMost)));
}

void RequestQueue::recordAdmission(TimePoint now)
{
    m_admittedPerSecond *= std::exp(-toSeconds(now - m_lastAdmitted) / admissionAveragingSeconds);
    m_admittedPerSecond += 1 / admissionAveragingSeconds;
    m_lastAdmitted = now;
}

Duration RequestQueue::waitFor(TimePoint now, std::size_t requestsAhead) const
{
    const double pause = !m_byId.empty() && m_lastServed ? toSeconds(now - *m_lastServed) / stallFactor : 0;
    if (m_secondsPerRequest == 0) {
        // No request was served while others waited: the first slot leases are pending and will serve many requests at once.
        return fromSeconds(pause);
    }
    return fromSeconds(std::max(m_secondsPerRequest, pause) * static_cast<double>(requestsAhead + 1));
}

std::optional<std::uint64_t> RequestQueue::displaceFor(const QueuedRequest &request)
{
    const auto longest = std::max_element(
        m_activeOrganisations.begin(), m_activeOrganisations.end(), [](const Organisation &left, const Organisation &right) {
            return left.items.size() < right.items.size();
        });
    const auto own = m_byName.find(request.organisation);
    const std::size_t ownSize = own == m_byName.end() ? 0 : own->second->items.size();
    // Evicting from an organisation with one request more would only swap the two.
    if (longest == m_activeOrganisations.end() || ownSize + 1 >= longest->items.size()) {
        return std::nullopt;
    }
    return take(longest, std::prev(longest->items.end())).id;
}

} // namespace jackdawdoor::limits
