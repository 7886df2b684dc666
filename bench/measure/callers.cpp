#include "measure/callers.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::measure {

namespace {

constexpr int okStatus = 200;
/** Factor by which some callers exceed the permitted hold time of a placement answer. */
constexpr int holdOverrunFactor = 20;
/** A caller closes its connection this long after the operation's deadline. */
constexpr Duration closeDelay = std::chrono::seconds{1};
constexpr int placementAttempts = 4;

} // namespace

Callers::Callers(EntryFleet &fleet, const contract::CustomerPolicy &policy, CallerOptions options, Measurement &measurement)
    : m_fleet(fleet)
    , m_policy(policy)
    , m_options(options)
    , m_measurement(measurement)
{
}

CallerOptions &Callers::options()
{
    return m_options;
}

void Callers::start(TimePoint end)
{
    m_end = end;
    for (const contract::ServicePolicy &service : m_policy.services) {
        arrive(service);
    }
}

void Callers::arrive(const contract::ServicePolicy &service)
{
    std::exponential_distribution<double> gap{service.peakRequestsPerSecond * m_options.load};
    m_fleet.events().after(fromSeconds(gap(m_fleet.random())), [this, &service] {
        if (m_fleet.events().now() >= m_end) {
            return;
        }
        std::vector<const contract::OperationPolicy *> reads;
        std::vector<const contract::OperationPolicy *> writes;
        for (const contract::OperationPolicy &operation : service.operations) {
            (operation.idempotent ? reads : writes).push_back(&operation);
        }
        const bool submits = reads.empty() || (!writes.empty() && uniform(m_fleet.random()) < m_options.submissionShare);
        const auto &drawn = submits ? writes : reads;
        const auto &operation = *drawn[static_cast<std::size_t>(uniform(m_fleet.random()) * static_cast<double>(drawn.size()))];
        if (submits) {
            submit(service, operation, m_fleet.random()());
        } else {
            read(service, operation);
        }
        arrive(service);
    });
}

std::size_t Callers::anyInstance()
{
    return static_cast<std::size_t>(uniform(m_fleet.random()) * static_cast<double>(m_fleet.size()));
}

const core::PlacementReply *Callers::place(const contract::ServicePolicy &service, const std::string &caller, bool fresh)
{
    Placement &kept = m_placements[{service.id, caller}];
    const TimePoint now = m_fleet.events().now();
    if (!fresh && !kept.reply.addresses.empty() && now < kept.until) {
        return &kept.reply;
    }
    for (int attempt = 0; attempt < placementAttempts; ++attempt) {
        core::PlacementReply reply = m_fleet.place(anyInstance(), {service.id, caller});
        if (!reply.refusal && !reply.addresses.empty()) {
            const bool stale = uniform(m_fleet.random()) < m_options.staleShare;
            kept = {std::move(reply), now};
            kept.until += kept.reply.hold * (stale ? holdOverrunFactor : 1);
            return &kept.reply;
        }
    }
    return nullptr;
}

void Callers::read(const contract::ServicePolicy &service, const contract::OperationPolicy &operation)
{
    const std::uint64_t number = m_nextNumber++;
    ++m_measurement.reads;
    const std::string caller = "caller-" + std::to_string(number % static_cast<std::uint64_t>(m_options.callersPerService));
    core::CallerRequest request;
    request.service = service.id;
    request.method = operation.method;
    request.path = operation.pathPrefix + "/" + std::to_string(number);
    request.organisation = "organisation-" + std::to_string(number % 7);
    request.fingerprint = number;
    const core::PlacementReply *reply = place(service, caller, false);
    if (reply == nullptr) {
        ++m_measurement.lost;
        return;
    }
    sendRead(request, reply->addresses, m_fleet.events().now(), operation.deadline);
}

void Callers::sendRead(const core::CallerRequest &request, std::vector<std::string> addresses, TimePoint arrived, Duration deadline)
{
    std::size_t instance = m_fleet.size();
    while (!addresses.empty() && (instance >= m_fleet.size() || !m_fleet.isUp(instance))) {
        instance = m_fleet.instanceAt(addresses.front());
        addresses.erase(addresses.begin());
    }
    if (instance >= m_fleet.size() || !m_fleet.isUp(instance)) {
        ++m_measurement.lost;
        return;
    }
    const auto done = std::make_shared<bool>(false);
    const core::RequestId id = m_fleet.request(instance, request, [=, this](const fakes::CallerAnswer &answer) {
        *done = true;
        if (answer.kind == fakes::CallerAnswer::Kind::Lost && !addresses.empty()) {
            sendRead(request, addresses, arrived, deadline);
        } else {
            onReadAnswer(answer, arrived, deadline);
        }
    });
    m_fleet.events().after(deadline + closeDelay, [=, this] {
        if (!*done) {
            m_fleet.abandon(instance, id);
            ++m_measurement.late;
        }
    });
}

void Callers::onReadAnswer(const fakes::CallerAnswer &answer, TimePoint arrived, Duration deadline)
{
    using Kind = fakes::CallerAnswer::Kind;
    if (answer.kind == Kind::Lost) {
        ++m_measurement.lost;
    } else if (answer.kind == Kind::Refused) {
        ++m_measurement.refused;
    } else if (answer.kind == Kind::Incomplete || answer.stale || answer.status != okStatus) {
        ++m_measurement.badAnswers;
    } else if (m_fleet.events().now() - arrived <= deadline + std::chrono::milliseconds{5}) {
        ++m_measurement.inTime;
    } else {
        ++m_measurement.late;
    }
}

} // namespace jackdawdoor::measure
