/** Request routing of CoreDriver: proxied requests, control queries of callers, and operators' pages. */
#include "net/coredriver.h"

#include "net/refusalanswer.h"

namespace jackdawdoor::net {

namespace {

constexpr int notFound = 404;
constexpr int serviceUnavailable = 503;

JsonAnswer notFoundAnswer()
{
    return {notFound, R"({"reason":"there is no such page"})"};
}

} // namespace

void CoreDriver::onRequest(FrontEnd &front, core::RequestId id, const std::shared_ptr<const RequestContent> &content)
{
    if (&front == &m_tasks.operators) {
        onOperatorRequest(id, *content);
    } else if (&front == &m_tasks.callers && content->target.starts_with("/v1/")) {
        onControlRequest(front, id, *content);
    } else {
        onProxiedRequest(front, id, content);
    }
}

void CoreDriver::onOperatorRequest(core::RequestId id, const RequestContent &content)
{
    const std::string path = content.path();
    if (path == "/metrics") {
        const Header type{"Content-Type", "text/plain; version=0.0.4"};
        m_tasks.operators.answer(id, AnswerPipe::completed({200, {type}, std::nullopt}, m_tasks.metrics.text()));
    } else if (path == "/v1/status") {
        m_tasks.operators.answer(id, jsonAnswer({200, m_core->status(now())}));
    } else if (path == "/v1/contract") {
        m_tasks.operators.answer(id, jsonAnswer(m_core->contractState(CustomerId{queryParameter(content.target, "customer")})));
    } else if (path == "/healthz") {
        m_tasks.operators.answer(id, jsonAnswer({200, R"({"alive":true})"}));
    } else if (path == "/readyz") {
        const bool ready = m_core->ready();
        m_tasks.operators.answer(id, jsonAnswer({ready ? 200 : serviceUnavailable, ready ? R"({"ready":true})" : R"({"ready":false})"}));
    } else {
        m_tasks.operators.answer(id, jsonAnswer(notFoundAnswer()));
    }
}

void CoreDriver::onControlRequest(FrontEnd &front, core::RequestId id, const RequestContent &content)
{
    const std::string path = content.path();
    if (path == "/v1/place") {
        const CustomerId customer{queryParameter(content.target, "customer")};
        const std::string service = queryParameter(content.target, "service");
        const PlacementQuery query{makeServiceId(customer, service), queryParameter(content.target, "caller")};
        front.answer(id, jsonAnswer(m_core->onPlacementQuery(now(), query)));
    } else if (path == "/v1/outcome") {
        Request &request = m_requests[id];
        request.front = &front;
        request.arrived = now();
        m_tasks.metrics.addInFlight(1);
        m_core->onOutcomeQuery(now(), id, queryParameter(content.target, "key"), *this);
    } else {
        front.answer(id, jsonAnswer(notFoundAnswer()));
    }
}

void CoreDriver::onProxiedRequest(FrontEnd &front, core::RequestId id, const std::shared_ptr<const RequestContent> &content)
{
    auto proxied = readProxiedRequest(id, *content);
    if (!proxied.has_value()) {
        m_tasks.metrics.countRefusal(core::stageName(core::RefusalStage::Malformed));
        front.answer(id, refusalAnswer(malformedRefusal(proxied.error().reason)));
        return;
    }
    Request &request = m_requests[id];
    request.front = &front;
    request.content = content;
    request.head = proxied.value().head;
    request.head.forwarded = &front == &m_tasks.peers;
    request.upstreamContent = std::make_shared<const RequestContent>(std::move(proxied.value().upstreamContent));
    request.arrived = now();
    m_tasks.metrics.addInFlight(1);
    const core::CallerRequest head = request.head;
    m_core->onRequest(request.arrived, head, *content, *this);
}

} // namespace jackdawdoor::net
