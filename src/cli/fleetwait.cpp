#include "cli/fleetwait.h"

#include "net/httpfetch.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <iomanip>
#include <mutex>
#include <thread>

namespace jackdawdoor::cli {

namespace {

using nlohmann::json;

constexpr Duration pollPeriod = std::chrono::milliseconds{100};

/** Version in force on one instance. */
struct Seen {
    configuration::Version version = 0;
    std::string fault = "not queried yet"; ///< why the version is unknown; empty when it is known
};

Seen readVersion(const Result<net::FetchAnswer> &answer, const CustomerId &customer)
{
    if (!answer.has_value()) {
        return {0, answer.error().reason};
    }
    const json status = json::parse(answer.value().body, nullptr, false);
    const json versions = status.is_object() ? status.value("versions", json()) : json();
    if (!versions.is_object()) {
        return {0, "the answer is not a status; is this an operators' address?"};
    }
    return {versions.value(customer.value, configuration::Version{0}), {}};
}

/** Queries all instances concurrently, so that one that hangs does not delay the others. */
std::vector<Seen> askAll(const FleetWait &wait)
{
    std::vector<Seen> seen(wait.instanceUrls.size());
    std::mutex mutex;
    std::condition_variable answered;
    std::size_t open = seen.size();
    net::EventLoop loop;
    loop.start();
    loop.post([&] {
        for (std::size_t index = 0; index < seen.size(); ++index) {
            net::FetchRequest request;
            request.url = wait.instanceUrls[index] + "/v1/status";
            net::fetch(loop, request, [&, index](const Result<net::FetchAnswer> &answer) {
                const std::lock_guard lock(mutex);
                seen[index] = readVersion(answer, wait.customer);
                --open;
                answered.notify_one();
            });
        }
    });
    std::unique_lock lock(mutex);
    answered.wait(lock, [&] {
        return open == 0;
    });
    lock.unlock();
    loop.stop();
    return seen;
}

void printMissing(const FleetWait &wait, const std::vector<Seen> &seen, std::ostream &err)
{
    for (std::size_t index = 0; index < seen.size(); ++index) {
        if (seen[index].version < wait.version) {
            const std::string has = "has version " + std::to_string(seen[index].version);
            err << Error{"wait until in force", wait.instanceUrls[index], seen[index].fault.empty() ? has : seen[index].fault} << std::endl;
        }
    }
}

} // namespace

bool waitUntilInForce(const FleetWait &wait, std::ostream &out, std::ostream &err)
{
    const TimePoint started = net::now();
    const TimePoint end = started + std::chrono::seconds{wait.seconds};
    auto printed = static_cast<std::ptrdiff_t>(-1);
    while (true) {
        const std::vector<Seen> seen = askAll(wait);
        const auto count = std::count_if(seen.begin(), seen.end(), [&](const Seen &instance) {
            return instance.version >= wait.version;
        });
        if (count != printed) {
            out << "in force on " << count << " of " << seen.size() << " after " << std::fixed << std::setprecision(1)
                << toSeconds(net::now() - started) << " s" << std::endl;
            printed = count;
        }
        if (static_cast<std::size_t>(count) == seen.size()) {
            return true;
        }
        if (net::now() + pollPeriod >= end) {
            printMissing(wait, seen, err);
            return false;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
}

} // namespace jackdawdoor::cli
