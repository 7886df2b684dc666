#include "standins/directproxy.h"

#include <chrono>
#include <stdexcept>

namespace jackdawdoor::standins {

namespace {

constexpr std::chrono::seconds patience{5};

} // namespace

DirectProxy::DirectProxy(net::AttemptOrder order, net::ServerLimits limits)
    : m_order(std::move(order))
    , m_callers(
          [this] {
              return ++m_lastRequest;
          },
          limits)
{
    m_upstreams.signalFinished.connect([this](const core::AttemptReport &report) {
        const std::lock_guard lock(m_mutex);
        m_reports.push_back(report);
        m_changed.notify_all();
    });
    m_callers.signalRequest.connect([this](core::RequestId request, std::shared_ptr<const net::RequestContent> content) {
        start(request, std::move(content));
    });
    m_callers.signalEnd.connect([this](core::RequestId request, net::RequestEnd end) {
        if (end == net::RequestEnd::CallerGone) {
            m_upstreams.cancel(request);
        }
        const std::lock_guard lock(m_mutex);
        m_ends.push_back(end);
        m_changed.notify_all();
    });
    const auto bound = m_callers.listen({"127.0.0.1", 0});
    if (!bound.has_value()) {
        throw std::runtime_error(bound.error().message());
    }
    m_port = bound.value().port;
    m_callers.start();
}

DirectProxy::~DirectProxy() = default;

int DirectProxy::port() const
{
    return m_port;
}

net::UpstreamTask &DirectProxy::upstreams()
{
    return m_upstreams;
}

std::vector<core::AttemptReport> DirectProxy::reports(std::size_t count)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, patience, [&] {
        return m_reports.size() >= count;
    });
    return m_reports;
}

std::vector<net::RequestEnd> DirectProxy::ends(std::size_t count)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, patience, [&] {
        return m_ends.size() >= count;
    });
    return m_ends;
}

void DirectProxy::start(core::RequestId request, std::shared_ptr<const net::RequestContent> content)
{
    auto pipe = std::make_shared<net::AnswerPipe>();
    net::AttemptOrder order = m_order;
    order.attempt = request;
    m_upstreams.start(order, std::move(content), pipe);
    m_callers.answer(request, pipe);
}

} // namespace jackdawdoor::standins
