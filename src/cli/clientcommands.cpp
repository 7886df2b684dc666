#include "cli/clientcommands.h"

#include "cli/commandline.h"
#include "cli/statustable.h"
#include "net/httpfetch.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::cli {

namespace {

constexpr int firstFailureStatus = 400;

/** Body of a successful answer, or the exit code of a failure that has been printed. */
struct FetchedBody {
    int exitCode = Success;
    std::string body;
};

FetchedBody fetchBody(const std::string &step, const std::string &url, std::ostream &err)
{
    net::FetchRequest request;
    request.url = url;
    const auto answer = net::fetchAndWait(request);
    if (!answer.has_value()) {
        err << Error{step, url, answer.error().reason} << std::endl;
        return {Unreachable, {}};
    }
    if (answer.value().status >= firstFailureStatus) {
        err << Error{step, url, "status " + std::to_string(answer.value().status) + ": " + answer.value().body} << std::endl;
        return {Failed, {}};
    }
    return {Success, answer.value().body};
}

void printJson(const std::string &body, std::ostream &out)
{
    const auto json = nlohmann::ordered_json::parse(body, nullptr, false);
    out << (json.is_discarded() ? body : json.dump(2)) << std::endl;
}

} // namespace

int runStatus(const std::string &instanceUrl, bool json, std::ostream &out, std::ostream &err)
{
    const std::string url = instanceUrl + "/v1/status";
    const FetchedBody fetched = fetchBody("read status", url, err);
    if (fetched.exitCode != Success) {
        return fetched.exitCode;
    }
    if (json) {
        printJson(fetched.body, out);
    } else if (!printStatus(fetched.body, out)) {
        err << Error{"read status", url, "the answer is not a status; is this an operators' address?"} << std::endl;
        return Failed;
    }
    return Success;
}

int runPlace(const std::string &instanceUrl,
             const std::string &customer,
             const std::string &service,
             const std::string &caller,
             std::ostream &out,
             std::ostream &err)
{
    const std::string query = "customer=" + net::encodeQueryValue(customer) + "&service=" + net::encodeQueryValue(service)
                              + "&caller=" + net::encodeQueryValue(caller);
    const FetchedBody fetched = fetchBody("query placement", instanceUrl + "/v1/place?" + query, err);
    if (fetched.exitCode == Success) {
        printJson(fetched.body, out);
    }
    return fetched.exitCode;
}

} // namespace jackdawdoor::cli
