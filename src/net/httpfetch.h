/** Minimal HTTP client with time and size limits, for the platform's services and the commands. */
#pragma once

#include "base/error.h"
#include "net/eventloop.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <functional>
#include <string>

namespace jackdawdoor::net {

/** Request and limits of one exchange. */
struct FetchRequest {
    std::string method = "GET"; ///< GET, POST or PUT
    std::string url; ///< http://host:port/path
    std::string body;
    Headers headers; ///< besides Host, Connection and Content-Length
    Duration timeout = std::chrono::seconds{2}; ///< for the whole exchange
    std::size_t maximumAnswerBytes = std::size_t{16} * 1024 * 1024;

    bool operator==(const FetchRequest &) const = default;
};

/** Answer with any status. */
struct FetchAnswer {
    int status = 0;
    std::string body;

    bool operator==(const FetchAnswer &) const = default;
};

/** Starts an exchange; onDone is called once on the loop's thread, or never if the loop is destroyed first. */
void fetch(EventLoop &loop, const FetchRequest &request, std::function<void(const Result<FetchAnswer> &)> onDone);

/** Runs an exchange and blocks until it has ended. */
Result<FetchAnswer> fetchAndWait(const FetchRequest &request);

} // namespace jackdawdoor::net
