#include "cli/clientcommands.h"

#include "cli/commandline.h"
#include "net/httpfetch.h"

#include <nlohmann/json.hpp>

namespace jackdawdoor::cli {

namespace {

constexpr int firstFailureStatus = 400;

/** Value of a query parameter; everything but unreserved characters is percent-encoded. */
std::string encoded(const std::string &value)
{
    constexpr const char *digits = "0123456789ABCDEF";
    std::string text;
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        const bool unreserved = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z') || byte == '-'
                                || byte == '.' || byte == '_' || byte == '~';
        if (unreserved) {
            text.push_back(character);
        } else {
            text += {'%', digits[byte / 16], digits[byte % 16]};
        }
    }
    return text;
}

int printAnswer(const std::string &url, std::ostream &out, std::ostream &err)
{
    net::FetchRequest request;
    request.url = url;
    const auto answer = net::fetchAndWait(request);
    if (!answer.has_value()) {
        err << answer.error() << std::endl;
        return Unreachable;
    }
    const auto json = nlohmann::ordered_json::parse(answer.value().body, nullptr, false);
    const std::string text = json.is_discarded() ? answer.value().body : json.dump(2);
    if (answer.value().status >= firstFailureStatus) {
        err << text << std::endl;
        return Failed;
    }
    out << text << std::endl;
    return Success;
}

} // namespace

int runStatus(const std::string &instanceUrl, std::ostream &out, std::ostream &err)
{
    return printAnswer(instanceUrl + "/v1/status", out, err);
}

int runPlace(const std::string &instanceUrl,
             const std::string &customer,
             const std::string &service,
             const std::string &caller,
             std::ostream &out,
             std::ostream &err)
{
    const std::string query = "customer=" + encoded(customer) + "&service=" + encoded(service) + "&caller=" + encoded(caller);
    return printAnswer(instanceUrl + "/v1/place?" + query, out, err);
}

} // namespace jackdawdoor::cli
