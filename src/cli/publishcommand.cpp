#include "cli/publishcommand.h"

#include "cli/checkcommand.h"
#include "cli/commandline.h"
#include "cli/fleetwait.h"
#include "configuration/publishsession.h"
#include "core/contractcompiler.h"
#include "net/fleetauthentication.h"
#include "net/httpfetch.h"
#include "net/instancecore.h"
#include "net/platformformat.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <optional>
#include <sstream>
#include <thread>

namespace jackdawdoor::cli {

namespace {

using configuration::AppendRecord;
using configuration::CustomerState;
using configuration::LogRead;
using configuration::PublishAction;
using configuration::PublishOutcome;
using configuration::PublishResult;
using configuration::PublishSession;
using configuration::WaitFor;

constexpr int statusOk = 200;

std::string newPublishId()
{
    std::ostringstream text;
    for (const char byte : net::randomNonce()) {
        text << std::hex << std::setw(2) << std::setfill('0') << static_cast<int>(static_cast<unsigned char>(byte));
    }
    return text.str();
}

std::string stateUrl(const PublishOptions &options, const CustomerId &customer)
{
    return options.instanceUrl + "/v1/contract?customer=" + net::encodeQueryValue(customer.value);
}

/** The customer's state as an instance knows it. */
Result<CustomerState> readState(const PublishOptions &options, const CustomerId &customer)
{
    net::FetchRequest request;
    request.url = stateUrl(options, customer);
    const auto answer = net::fetchAndWait(request);
    const auto fault = [&](const std::string &reason) {
        return Error{"read the version in force", request.url, reason};
    };
    if (!answer.has_value()) {
        return fault(answer.error().reason);
    }
    if (answer.value().status != statusOk) {
        return fault("status " + std::to_string(answer.value().status));
    }
    try {
        const auto json = nlohmann::json::parse(answer.value().body);
        CustomerState state;
        state.customer = customer;
        state.version = json.at("version").get<configuration::Version>();
        state.asOf = json.at("as_of").get<configuration::Offset>();
        return state;
    } catch (const nlohmann::json::exception &error) {
        return fault(std::string("malformed answer: ") + error.what());
    }
}

/** Executes the actions of a publish session on the log service. */
class LogClient
{
public:
    LogClient(std::string url, std::ostream &err)
        : m_url(std::move(url))
        , m_err(err)
    {
    }

    PublishAction execute(PublishSession &session, const AppendRecord &append) const
    {
        net::FetchRequest request;
        request.method = "POST";
        request.url = m_url + "/streams/configuration";
        request.body = append.record;
        const auto answer = net::fetchAndWait(request);
        if (!answer.has_value()) {
            return appendFailed(session, answer.error().reason, false);
        }
        const int status = answer.value().status;
        if (status != statusOk) {
            // A 4xx means that the log refused the record. A 5xx may come from an intermediary that lost the log's answer.
            return appendFailed(session, "status " + std::to_string(status), status >= 400 && status < 500);
        }
        const auto offset = net::parseAppendAnswer(answer.value().body, m_url);
        return offset.has_value() ? session.onAppended(net::now(), offset.value()) : appendFailed(session, offset.error().reason, false);
    }

    PublishAction execute(PublishSession &session, const LogRead &read) const
    {
        net::FetchRequest request;
        request.url =
            m_url + "/streams/configuration?from=" + std::to_string(read.fromOffset) + "&max=" + std::to_string(read.maximumRecords);
        const auto answer = net::fetchAndWait(request);
        if (!answer.has_value()) {
            return readFailed(session, answer.error().reason);
        }
        if (answer.value().status != statusOk) {
            return readFailed(session, "status " + std::to_string(answer.value().status));
        }
        const auto page = net::parseLogPage(answer.value().body, m_url);
        return page.has_value() ? session.onPage(net::now(), net::toLogPage(page.value())) : readFailed(session, page.error().reason);
    }

    static PublishAction execute(PublishSession &session, const WaitFor &wait)
    {
        std::this_thread::sleep_for(wait.delay);
        return session.onTick(net::now());
    }

private:
    PublishAction appendFailed(PublishSession &session, const std::string &reason, bool certainlyNot) const
    {
        m_err << Error{"append to log", m_url, reason + "; checking whether the record is in the log"} << std::endl;
        return session.onAppendFailed(net::now(), certainlyNot);
    }

    PublishAction readFailed(PublishSession &session, const std::string &reason) const
    {
        m_err << Error{"read log", m_url, reason} << std::endl;
        return session.onReadFailed(net::now());
    }

    std::string m_url;
    std::ostream &m_err;
};

PublishResult runSession(PublishSession &session, const LogClient &client)
{
    PublishAction action = session.start(net::now());
    while (!std::holds_alternative<PublishResult>(action)) {
        action = std::visit(
            [&](const auto &step) -> PublishAction {
                if constexpr (std::is_same_v<std::decay_t<decltype(step)>, PublishResult>) {
                    return step;
                } else {
                    return client.execute(session, step);
                }
            },
            PublishAction(action));
    }
    return std::get<PublishResult>(action);
}

int printResult(const PublishResult &result, const CustomerState &base, const PublishOptions &options, std::ostream &out, std::ostream &err)
{
    const std::string who = base.customer.value + ": ";
    switch (result.outcome) {
    case PublishOutcome::Accepted:
        out << who << "accepted as version " << result.version << (options.file.empty() ? " (deleted)" : "") << std::endl;
        return Success;
    case PublishOutcome::Rejected:
        err << who << "rejected, nothing was published: " << result.reason << std::endl;
        return Failed;
    case PublishOutcome::LostRace:
        err << who << "lost a race to version " << result.version << ", nothing was published. Read it with\n  curl '"
            << stateUrl(options, base.customer) << "'\nand publish again if the change is still wanted." << std::endl;
        return LostRace;
    case PublishOutcome::Unknown:
        break;
    }
    err << who << "unknown: " << result.reason
        << ". The change may have been or may yet be accepted. Query the version later with\n  curl '" << stateUrl(options, base.customer)
        << "'\nA version above " << base.version << " with your text means that it was accepted. While the version is " << base.version
        << ", publishing the same file again is safe." << std::endl;
    return Unreachable;
}

} // namespace

int runPublish(const PublishOptions &options, std::ostream &out, std::ostream &err)
{
    CustomerId customer{options.deleteCustomer};
    std::optional<std::string> body;
    if (!options.file.empty()) {
        const ContractFile read = readContractFile(options.file, err);
        if (!read.contract) {
            return read.exitCode;
        }
        customer = CustomerId{read.contract->customer};
        body = read.text;
    }
    const auto base = readState(options, customer);
    if (!base.has_value()) {
        err << base.error() << std::endl;
        return Unreachable;
    }
    if (!body && base.value().version == 0) {
        err << Error{"delete", customer.value, "the instance has no contract of this customer"} << std::endl;
        return Failed;
    }
    PublishSession session(base.value(), newPublishId(), body, core::compileContract);
    const PublishResult result = runSession(session, LogClient(options.logUrl, err));
    const int exitCode = printResult(result, base.value(), options, out, err);
    if (exitCode != Success || options.waitSeconds == 0) {
        return exitCode;
    }
    const FleetWait wait{customer, result.version, options.fleet, options.waitSeconds};
    return waitUntilInForce(wait, out, err) ? Success : NotEverywhere;
}

} // namespace jackdawdoor::cli
