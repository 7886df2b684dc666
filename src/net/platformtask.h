/** Task that talks to the platform: the append-only log service and the instance list. */
#pragma once

#include "base/error.h"
#include "base/random.h"
#include "net/decisioncore.h"
#include "net/eventloop.h"
#include "net/httpfetch.h"

#include <sigc++/signal.h>

#include <functional>
#include <string>
#include <vector>

namespace jackdawdoor::net {

/** HTTP client of the task; replaceable by another transport. */
using PlatformFetch = std::function<void(EventLoop &, const FetchRequest &, std::function<void(const Result<FetchAnswer> &)>)>;

/** Addresses of the platform's services. */
struct PlatformAddresses {
    std::string logServiceUrl; ///< base URL
    std::string instanceListUrl; ///< full URL
    Duration timeout = std::chrono::seconds{2}; ///< of one exchange

    bool operator==(const PlatformAddresses &) const = default;
};

/** Client of the platform. Signals are emitted on its own thread. */
class PlatformTask
{
public:
    PlatformTask(PlatformAddresses addresses, std::uint64_t seed, PlatformFetch fetch = &net::fetch);
    ~PlatformTask();
    PlatformTask(const PlatformTask &) = delete;
    PlatformTask &operator=(const PlatformTask &) = delete;

    /** Starts the task and the polling of the instance list. Connect the signals first. */
    void start();

    /** Reads a page of the configuration stream. */
    void readLog(std::uint64_t fromOffset, std::uint32_t maximumRecords);

    /** Appends a record. After a failure the record may or may not have been appended. */
    void append(const std::string &record);

    sigc::signal<void(const LogPageContent &)> signalLogPage;
    sigc::signal<void(const Error &)> signalLogFailed;
    sigc::signal<void(const std::string &, const Result<std::uint64_t> &)> signalAppended;
    sigc::signal<void(const std::vector<ListedInstance> &)> signalInstanceList;

private:
    void pollInstanceList();
    void onInstanceList(const Result<FetchAnswer> &answer);

    PlatformAddresses m_addresses;
    RandomSource m_random;
    PlatformFetch m_fetch;
    EventLoop m_loop;
    Timer m_listTimer;
};

} // namespace jackdawdoor::net
