#include "net/platformtask.h"

#include "net/platformformat.h"
#include "telemetry/log.h"

namespace jackdawdoor::net {

namespace {

// The list is stale in any case and membership needs it for candidates only. Jitter keeps instances from polling in step.
/** With its jitter of a fifth it stays below the 3 s after which a leaving upstream must get no new requests. */
constexpr Duration listInterval = std::chrono::seconds{2};
constexpr double listJitter = 0.4;
constexpr int statusOk = 200;

/** The body of an answer with status 200; any other status is an error. */
Result<std::string> goodBody(const Result<FetchAnswer> &answer, const char *step, const std::string &peer)
{
    if (!answer.has_value()) {
        return Error{step, peer, answer.error().reason};
    }
    if (answer.value().status != statusOk) {
        return Error{step, peer, "status " + std::to_string(answer.value().status)};
    }
    return answer.value().body;
}

} // namespace

PlatformTask::PlatformTask(PlatformAddresses addresses, std::uint64_t seed, PlatformFetch fetch)
    : m_addresses(std::move(addresses))
    , m_random(seed)
    , m_fetch(std::move(fetch))
    , m_listTimer(m_loop, [this] {
        pollInstanceList();
    })
{
}

PlatformTask::~PlatformTask()
{
    m_loop.stop();
}

void PlatformTask::start()
{
    m_listTimer.set(Duration{});
    m_loop.start();
}

void PlatformTask::readLog(std::uint64_t fromOffset, std::uint32_t maximumRecords)
{
    FetchRequest request;
    request.url =
        m_addresses.logServiceUrl + "/streams/configuration?from=" + std::to_string(fromOffset) + "&max=" + std::to_string(maximumRecords);
    request.timeout = m_addresses.timeout;
    m_loop.post([this, request] {
        m_fetch(m_loop, request, [this](const Result<FetchAnswer> &answer) {
            const auto body = goodBody(answer, "read log", m_addresses.logServiceUrl);
            const auto page =
                body.has_value() ? parseLogPage(body.value(), m_addresses.logServiceUrl) : Result<LogPageContent>(body.error());
            if (page.has_value()) {
                signalLogPage.emit(page.value());
            } else {
                signalLogFailed.emit(page.error());
            }
        });
    });
}

void PlatformTask::append(const std::string &record)
{
    FetchRequest request;
    request.method = "POST";
    request.url = m_addresses.logServiceUrl + "/streams/configuration";
    request.body = record;
    request.timeout = m_addresses.timeout;
    m_loop.post([this, request] {
        m_fetch(m_loop, request, [this, record = request.body](const Result<FetchAnswer> &answer) {
            const auto body = goodBody(answer, "append to log", m_addresses.logServiceUrl);
            signalAppended.emit(record,
                                body.has_value() ? parseAppendAnswer(body.value(), m_addresses.logServiceUrl)
                                                 : Result<std::uint64_t>(body.error()));
        });
    });
}

void PlatformTask::pollInstanceList()
{
    FetchRequest request;
    request.url = m_addresses.instanceListUrl;
    request.timeout = m_addresses.timeout;
    m_fetch(m_loop, request, [this](const Result<FetchAnswer> &answer) {
        onInstanceList(answer);
    });
}

void PlatformTask::onInstanceList(const Result<FetchAnswer> &answer)
{
    const auto body = goodBody(answer, "read instance list", m_addresses.instanceListUrl);
    const auto list =
        body.has_value() ? parseInstanceList(body.value(), m_addresses.instanceListUrl) : Result<std::vector<ListedInstance>>(body.error());
    if (list.has_value()) {
        signalInstanceList.emit(list.value());
    } else {
        telemetry::writeLog(telemetry::LogLevel::Warning, list.error().step, list.error().reason, {{"peer", list.error().peer}});
    }
    const double factor = 1.0 + listJitter * (uniform(m_random) - 0.5);
    m_listTimer.set(fromSeconds(toSeconds(listInterval) * factor));
}

} // namespace jackdawdoor::net
