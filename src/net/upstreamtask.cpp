#include "net/upstreamtask.h"

#include <algorithm>

namespace jackdawdoor::net {

namespace {

// Unused connections are closed because they count against the upstream's connection limit for the whole fleet.
constexpr Duration maximumIdleTime = std::chrono::seconds{30};
constexpr Duration closeSilentInterval = std::chrono::seconds{5};

} // namespace

UpstreamTask::UpstreamTask()
    : m_closeSilentTimer(m_loop, [this] {
        closeSilent();
    })
{
    m_closeSilentTimer.set(closeSilentInterval);
    m_loop.start();
}

UpstreamTask::~UpstreamTask()
{
    m_loop.call([this] {
        m_attempts.clear();
        m_upstreams.clear();
    });
    m_loop.stop();
}

void UpstreamTask::start(const AttemptOrder &order, std::shared_ptr<const RequestContent> request, std::shared_ptr<AnswerPipe> pipe)
{
    m_loop.post([this, order, request = std::move(request), pipe = std::move(pipe)] {
        startHere(order, request, pipe);
    });
}

void UpstreamTask::cancel(core::AttemptId attempt)
{
    m_loop.post([this, attempt] {
        const auto found = m_attempts.find(attempt);
        if (found != m_attempts.end()) {
            found->second->cancel();
        }
    });
}

int UpstreamTask::openConnections(const std::string &address)
{
    int open = 0;
    m_loop.call([&] {
        const auto found = m_upstreams.find(address);
        open = found == m_upstreams.end() ? 0 : found->second.pool.open();
    });
    return open;
}

UpstreamTask::Upstream *UpstreamTask::upstream(const std::string &address)
{
    const auto found = m_upstreams.find(address);
    if (found != m_upstreams.end()) {
        return &found->second;
    }
    const auto endpoint = settings::parseEndpoint(address);
    if (!endpoint.has_value()) {
        return nullptr;
    }
    return &m_upstreams.emplace(address, Upstream{UpstreamPool(m_loop, endpoint.value()), {}}).first->second;
}

void UpstreamTask::startHere(const AttemptOrder &order, std::shared_ptr<const RequestContent> request, std::shared_ptr<AnswerPipe> pipe)
{
    Upstream *target = upstream(order.address);
    if (target == nullptr) {
        pipe->finish(AnswerPipe::State::Broken);
        core::AttemptReport report;
        report.attempt = order.attempt;
        report.end = core::AttemptEnd::ConnectFailed;
        signalFinished.emit(report);
        return;
    }
    auto attempt = std::make_unique<UpstreamAttempt>(
        m_loop,
        order,
        std::move(request),
        std::move(pipe),
        [this](const core::AnswerHead &head) {
            signalHead.emit(head);
        },
        [this](const core::AttemptReport &report) {
            onFinished(report);
        });
    m_attempts.emplace(order.attempt, std::move(attempt));
    target->waiting.push_back(order.attempt);
    beginWaiting(*target);
}

void UpstreamTask::beginWaiting(Upstream &upstream)
{
    while (!upstream.waiting.empty()) {
        const auto found = m_attempts.find(upstream.waiting.front());
        if (found != m_attempts.end()) {
            const AttemptOrder &order = found->second->order();
            auto connection = upstream.pool.acquire(now(), order.maximumSilence, order.connectionLimit);
            if (!connection) {
                return;
            }
            found->second->begin(now(), std::move(connection));
        }
        upstream.waiting.pop_front();
    }
}

void UpstreamTask::onFinished(const core::AttemptReport &report)
{
    const auto found = m_attempts.find(report.attempt);
    const std::unique_ptr<UpstreamAttempt> attempt = std::move(found->second);
    m_attempts.erase(found);
    Upstream &target = *upstream(attempt->order().address);
    if (auto connection = attempt->takeConnection()) {
        if (report.end == core::AttemptEnd::Complete) {
            target.pool.release(std::move(connection));
        } else {
            target.pool.discard(std::move(connection));
        }
    }
    std::erase(target.waiting, report.attempt);
    signalFinished.emit(report);
    beginWaiting(target);
}

void UpstreamTask::closeSilent()
{
    for (auto &entry : m_upstreams) {
        entry.second.pool.closeSilent(now(), maximumIdleTime);
    }
    m_closeSilentTimer.set(closeSilentInterval);
}

} // namespace jackdawdoor::net
