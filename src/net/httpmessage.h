/** HTTP messages that are passed between tasks. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::net {

/** One header line. */
struct Header {
    std::string name;
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/** A complete request. */
struct RequestContent {
    std::string method; ///< upper case
    std::string target; ///< path with query, as received
    Headers headers; ///< without hop-by-hop headers
    std::string body;

    bool operator==(const RequestContent &) const = default;

    /** The target without its query. */
    std::string path() const;
};

/** Head of an answer that is relayed to a caller. */
struct AnswerStart {
    int status = 0;
    Headers headers; ///< without hop-by-hop headers and without Content-Length
    std::optional<std::uint64_t> contentLength;

    bool operator==(const AnswerStart &) const = default;
};

/** ASCII case-insensitive comparison. */
bool equalsIgnoreCase(std::string_view first, std::string_view second);

/** The parts between separators, with surrounding white space removed. */
std::vector<std::string_view> splitTrimmed(std::string_view text, char separator);

/** Value of the first header with that name (case-insensitive), or an empty string. */
std::string findHeader(const Headers &headers, std::string_view name);

/** Number of header lines with that name (case-insensitive). */
std::size_t countHeaders(const Headers &headers, std::string_view name);

/** Replaces all headers with that name by one. */
void setHeader(Headers &headers, std::string_view name, std::string value);

/** The headers without hop-by-hop ones: the fixed list of RFC 9110 and those named by Connection. */
Headers withoutHopByHop(const Headers &headers);

/** Reason why two parsers could disagree on where the request ends, which would allow request smuggling; or nothing. */
std::optional<std::string> framingFault(const Headers &headers);

/** True for the status of a final or interim answer. A switch of protocols is none: requests never ask for it. */
bool isAnswerStatus(int status);

/** False for the statuses whose answers end with their head, whatever length they state. */
bool answerHasBody(int status);

/** True if the text is a header name that RFC 9110 allows; a space before the colon, for example, is not part of one. */
bool isHeaderName(std::string_view text);

/** True if the text can be the value of a header: it is not empty and has no control character. A line break would add headers. */
bool isHeaderValue(std::string_view text);

/** Value of an unsigned decimal number, or nothing. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

/** Value of a parameter in a query; everything but unreserved characters is percent-encoded. */
std::string encodeQueryValue(std::string_view value);

/** Value of a parameter in the target's query, percent-decoded, or an empty string. */
std::string queryParameter(std::string_view target, std::string_view name);

} // namespace jackdawdoor::net
