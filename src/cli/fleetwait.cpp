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
struct InstanceVersion {
    configuration::Version version = 0;
    std::string fault = "not queried yet"; ///< why the version is unknown; empty when it is known
};

InstanceVersion readVersion(const Result<net::FetchAnswer> &answer, const CustomerId &customer)
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
std::vector<InstanceVersion> fetchVersions(const FleetWait &wait)
{
    std::vector<InstanceVersion> versions(wait.instanceUrls.size());
    std::mutex mutex;
    std::condition_variable answered;
    std::size_t pending = versions.size();
    net::EventLoop loop;
    loop.start();
    loop.post([&] {
        for (std::size_t index = 0; index < versions.size(); ++index) {
            net::FetchRequest request;
            request.url = wait.instanceUrls[index] + "/v1/status";
            net::fetch(loop, request, [&, index](const Result<net::FetchAnswer> &answer) {
                const std::lock_guard lock(mutex);
                versions[index] = readVersion(answer, wait.customer);
                --pending;
                answered.notify_one();
            });
        }
    });
    std::unique_lock lock(mutex);
    answered.wait(lock, [&] {
        return pending == 0;
    });
    lock.unlock();
    loop.stop();
    return versions;
}

void printMissing(const FleetWait &wait, const std::vector<InstanceVersion> &versions, std::ostream &err)
{
    for (std::size_t index = 0; index < versions.size(); ++index) {
        if (versions[index].version < wait.version) {
            const std::string has = "has version " + std::to_string(versions[index].version);
            err << Error{"wait until in force", wait.instanceUrls[index], versions[index].fault.empty() ? has : versions[index].fault}
                << std::endl;
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
        const std::vector<InstanceVersion> versions = fetchVersions(wait);
        const auto count = std::count_if(versions.begin(), versions.end(), [&](const InstanceVersion &instance) {
            return instance.version >= wait.version;
        });
        if (count != printed) {
            out << "in force on " << count << " of " << versions.size() << " after " << std::fixed << std::setprecision(1)
                << toSeconds(net::now() - started) << " s" << std::endl;
            printed = count;
        }
        if (static_cast<std::size_t>(count) == versions.size()) {
            return true;
        }
        if (net::now() + pollPeriod >= end) {
            printMissing(wait, versions, err);
            return false;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
}

} // namespace jackdawdoor::cli
