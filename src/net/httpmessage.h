/** HTTP messages as they pass between tasks. */
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

/** Head of an answer on its way to a caller. */
struct AnswerStart {
    int status = 0;
    Headers headers; ///< without hop-by-hop headers and without Content-Length
    std::optional<std::uint64_t> contentLength;

    bool operator==(const AnswerStart &) const = default;
};

/** Comparison without regard to the case of ASCII letters. */
bool equalsIgnoreCase(std::string_view first, std::string_view second);

/** The parts between separators, without white space at their ends. */
std::vector<std::string_view> splitTrimmed(std::string_view text, char separator);

/** Value of the first header of that name in any case, or an empty string. */
std::string findHeader(const Headers &headers, std::string_view name);

/** Number of header lines of that name in any case. */
std::size_t countHeaders(const Headers &headers, std::string_view name);

/** Sets the only header of that name. */
void setHeader(Headers &headers, std::string_view name, std::string value);

/** The headers without those that belong to one connection: the fixed list of RFC 9110 and those named by Connection. */
Headers withoutHopByHop(const Headers &headers);

/** Why two parsers could disagree on where the request ends, or nothing. Such a request could smuggle in another. */
std::optional<std::string> framingFault(const Headers &headers);

/** Value of a decimal number without sign, or nothing. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

/** Value of a parameter in the target's query, percent-decoded, or an empty string. */
std::string queryParameter(std::string_view target, std::string_view name);

} // namespace jackdawdoor::net
