#include "net/requestreader.h"

#include "base/stablehash.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace jackdawdoor::net {

namespace {

constexpr std::uint64_t longestDeadlineMilliseconds = std::uint64_t{24} * 3600 * 1000;

bool hasForbiddenCharacter(std::string_view target)
{
    return std::any_of(target.begin(), target.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte <= 0x20 || byte >= 0x7f || character == '\\' || character == '#';
    });
}

bool hasEncodedSeparator(std::string_view path)
{
    constexpr std::array<std::string_view, 4> encoded{"%2f", "%2e", "%5c", "%00"};
    for (std::size_t place = path.find('%'); place != std::string_view::npos; place = path.find('%', place + 1)) {
        const std::string_view code = path.substr(place, 3);
        const bool forbidden = std::any_of(encoded.begin(), encoded.end(), [&](std::string_view candidate) {
            return equalsIgnoreCase(code, candidate);
        });
        if (forbidden) {
            return true;
        }
    }
    return false;
}

const char *targetFault(std::string_view target, std::string_view path)
{
    if (!target.starts_with('/') || hasForbiddenCharacter(target)) {
        return "the target is not a path, or has a character that is not allowed";
    }
    if (hasEncodedSeparator(path)) {
        return "the path has an encoded separator";
    }
    const auto segments = splitTrimmed(path.substr(1), '/');
    for (std::size_t index = 0; index < segments.size(); ++index) {
        const bool last = index + 1 == segments.size();
        if (segments[index] == "." || segments[index] == ".." || (segments[index].empty() && !last)) {
            return "the path has an empty segment or a dot segment";
        }
    }
    return nullptr;
}

std::uint64_t fingerprint(const RequestContent &content)
{
    return stableHash(content.body, stableHash(content.target, stableHash(content.method)));
}

} // namespace

Result<ProxiedRequest> readProxiedRequest(core::RequestId id, const RequestContent &content)
{
    const auto fault = [&](const char *reason) {
        return Error{"read request", "caller", reason};
    };
    const std::string path = content.path();
    if (const char *reason = targetFault(content.target, path)) {
        return fault(reason);
    }
    const std::size_t customerEnd = path.find('/', 1);
    if (customerEnd == std::string::npos || customerEnd + 1 == path.size()) {
        return fault("expected a path that starts with /customer/service");
    }
    const std::size_t serviceEnd = std::min(path.find('/', customerEnd + 1), path.size());
    ProxiedRequest request;
    request.head.id = id;
    request.head.service = ServiceId{path.substr(1, serviceEnd - 1)};
    request.head.method = content.method;
    request.head.path = serviceEnd == path.size() ? "/" : path.substr(serviceEnd);
    request.head.bodyBytes = content.body.size();
    request.head.fingerprint = fingerprint(content);
    if (countHeaders(content.headers, "Idempotency-Key") > 1) {
        return fault("Idempotency-Key is given twice");
    }
    request.head.key = findHeader(content.headers, "Idempotency-Key");
    if (countHeaders(content.headers, "X-Deadline-Ms") > 0) {
        const auto milliseconds = parseNumber(findHeader(content.headers, "X-Deadline-Ms"));
        if (!milliseconds) {
            return fault("X-Deadline-Ms is not a number of milliseconds");
        }
        request.head.deadline = std::chrono::milliseconds{std::min(*milliseconds, longestDeadlineMilliseconds)};
    }
    request.upstreamContent = content;
    request.upstreamContent.target = request.head.path + content.target.substr(path.size());
    std::erase_if(request.upstreamContent.headers, [](const Header &header) {
        return equalsIgnoreCase(header.name, "X-Deadline-Ms");
    });
    return request;
}

} // namespace jackdawdoor::net
