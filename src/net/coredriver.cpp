#include "net/coredriver.h"

#include "net/refusalanswer.h"

#include <algorithm>
#include <utility>

namespace jackdawdoor::net {

namespace {

// Resolution of queue deadlines, hedges and probes; attempts have their own timers.
constexpr Duration tickInterval = std::chrono::milliseconds{10};

const char *resultName(RequestEnd end, bool refused)
{
    if (end == RequestEnd::CallerGone) {
        return "caller-gone";
    }
    if (end == RequestEnd::Broken) {
        return "broken";
    }
    return refused ? "refused" : "answered";
}

} // namespace

CoreDriver::CoreDriver(DriverTasks tasks, std::unique_ptr<DecisionCore> core)
    : m_tasks(tasks)
    , m_core(std::move(core))
    , m_tickTimer(m_loop, [this] {
        tick();
    })
{
    connectFrontEnds();
    connectSources();
}

CoreDriver::~CoreDriver()
{
    m_loop.stop();
}

void CoreDriver::start()
{
    m_tickTimer.set(Duration{});
    m_loop.start();
}

void CoreDriver::connectFrontEnds()
{
    for (FrontEnd *front : std::initializer_list<FrontEnd *>{&m_tasks.callers, &m_tasks.peers, &m_tasks.operators}) {
        front->signalRequest.connect(
            [this, front, mailbox = m_loop.mailbox()](core::RequestId id, std::shared_ptr<const RequestContent> content) {
                mailbox->post([this, front, id, content = std::move(content)] {
                    onRequest(*front, id, content);
                });
            });
        front->signalEnd.connect([this, mailbox = m_loop.mailbox()](core::RequestId id, RequestEnd end) {
            mailbox->post([this, id, end] {
                onRequestEnd(id, end);
            });
        });
    }
}

void CoreDriver::connectSources()
{
    m_tasks.upstreams.signalHead.connect([this, mailbox = m_loop.mailbox()](const core::AnswerHead &head) {
        mailbox->post([this, head] {
            onHead(head);
        });
    });
    m_tasks.upstreams.signalFinished.connect([this, mailbox = m_loop.mailbox()](const core::AttemptReport &report) {
        mailbox->post([this, report] {
            onAttemptFinished(report);
        });
    });
    m_tasks.peers.signalMessage.connect([this, mailbox = m_loop.mailbox()](const InstanceRef &from, const std::string &message) {
        mailbox->post([this, from, message] {
            m_core->onPeerMessage(now(), from, message, *this);
        });
    });
    m_tasks.peers.signalForwardFailed.connect([this, mailbox = m_loop.mailbox()](core::RequestId request, bool nothingSent) {
        mailbox->post([this, request, nothingSent] {
            if (m_requests.contains(request)) {
                m_core->onForwardFailed(now(), request, nothingSent, *this);
            }
        });
    });
    m_tasks.platform.signalLogPage.connect([this, mailbox = m_loop.mailbox()](const LogPageContent &page) {
        mailbox->post([this, page] {
            m_core->onLogPage(now(), page, *this);
        });
    });
    m_tasks.platform.signalLogFailed.connect([this, mailbox = m_loop.mailbox()](const Error &error) {
        mailbox->post([this, error] {
            m_core->onLogFailed(now(), error, *this);
        });
    });
    m_tasks.platform.signalAppended.connect(
        [this, mailbox = m_loop.mailbox()](const std::string &record, const Result<std::uint64_t> &offset) {
            mailbox->post([this, record, offset] {
                m_core->onAppendFinished(now(), record, offset, *this);
            });
        });
    m_tasks.platform.signalInstanceList.connect([this, mailbox = m_loop.mailbox()](const std::vector<ListedInstance> &instances) {
        mailbox->post([this, instances] {
            m_core->onInstanceList(now(), instances, *this);
        });
    });
}

void CoreDriver::beginStop()
{
    m_tasks.callers.closeAfterAnswers();
    m_loop.post([this] {
        m_core->beginStop(now(), *this);
    });
}

void CoreDriver::tick()
{
    m_core->onTick(now(), *this);
    checkStopped();
    m_tickTimer.set(tickInterval);
}

void CoreDriver::checkStopped()
{
    if (m_stopFinished && m_requests.empty() && !m_stopped) {
        m_stopped = true;
        m_tasks.peers.whenDelivered([this, mailbox = m_loop.mailbox()] {
            mailbox->post([this] {
                signalStopped.emit();
            });
        });
    }
}

void CoreDriver::onHead(const core::AnswerHead &head)
{
    const auto found = m_attempts.find(head.attempt);
    if (found != m_attempts.end()) {
        found->second.headArrived = now();
    }
    m_core->onAnswerHead(now(), head, *this);
}

void CoreDriver::onAttemptFinished(const core::AttemptReport &report)
{
    const auto found = m_attempts.find(report.attempt);
    if (found != m_attempts.end()) {
        found->second.finished = true;
        const auto request = m_requests.find(found->second.request);
        const bool open = request != m_requests.end();
        const std::string service = open ? request->second.head.service.value : std::string{};
        m_tasks.metrics.countAttempt(service.substr(0, service.find('/')), attemptEndName(report.end));
        if (!open) {
            m_attempts.erase(found);
        }
    }
    m_core->onAttemptFinished(now(), report, *this);
}

void CoreDriver::onRequestEnd(core::RequestId id, RequestEnd end)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const Request request = std::move(found->second);
    m_requests.erase(found);
    m_tasks.metrics.addInFlight(-1);
    // Only customers with a contract become labels: callers could otherwise create any number of time series.
    const std::string service = request.hasContract ? request.head.service.value : std::string{};
    m_tasks.metrics.countRequest(service.substr(0, service.find('/')), service, resultName(end, request.refused));
    std::erase_if(m_attempts, [&](const auto &entry) {
        if (entry.second.request == id) {
            entry.second.pipe->closeConsumer();
        }
        return entry.second.request == id && entry.second.finished;
    });
    if (request.forwarded) {
        m_tasks.peers.cancelForward(id);
    }
    if (request.forwardedAnswer) {
        request.forwardedAnswer->closeConsumer();
    }
    // The core keeps a forwarded request until it is told of its end, and a graceful shutdown waits for it.
    if (end == RequestEnd::CallerGone || request.forwarded) {
        m_core->onCallerGone(now(), id, *this);
    }
    checkStopped();
}

} // namespace jackdawdoor::net
