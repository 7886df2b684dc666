/** Runs callers as a program and compares the answers they received with the upstreams' run counts.
 *
 * callers INSTANCES UPSTREAMS GRAY SECONDS: comma-separated "ip:port" lists of instances and of all upstreams, a list of
 * "URL@SECOND@QUERY" that switches an upstream's behaviour, and the length of the run. The customer is "demo" with the
 * services "catalogue" and "orders". Exits with 1 when an order ran twice, when an order reported as not run did run, or
 * when a request was lost.
 */
#include "net/httpmessage.h"
#include "standins/callers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

using namespace jackdawdoor;
using standins::Callers;
using standins::CallersCount;

namespace {

// Less than the 5 s after which an ejected upstream is tried again under a detection-time contract.
constexpr Duration watchTime = std::chrono::seconds{4};
constexpr Duration watchPeriod = std::chrono::milliseconds{20};

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    for (const std::string_view part : net::splitTrimmed(text, separator)) {
        if (!part.empty()) {
            parts.emplace_back(part);
        }
    }
    return parts;
}

nlohmann::json countsOf(const std::string &url)
{
    net::FetchRequest request;
    request.url = url + "/counts";
    const auto answer = net::fetchAndWait(request);
    return answer.has_value() ? nlohmann::json::parse(answer.value().body, nullptr, false) : nlohmann::json();
}

/** Upstream with a scheduled gray failure, and how long it kept receiving requests afterwards. */
struct GrayFailure {
    std::string url;
    int second = 0;
    std::string query;
    Duration lastRun{};
    std::uint64_t runs = 0; ///< runs after the change
    bool watched = false;
};

void watch(GrayFailure &gray)
{
    std::this_thread::sleep_for(std::chrono::seconds{gray.second});
    net::FetchRequest change;
    change.method = "POST";
    change.url = gray.url + "/control?" + gray.query;
    const std::uint64_t before = countsOf(gray.url).value("runs", std::uint64_t{0});
    gray.watched = net::fetchAndWait(change).has_value();
    const TimePoint changed = net::now();
    std::uint64_t last = before;
    while (net::now() - changed < watchTime) {
        const nlohmann::json counts = countsOf(gray.url);
        const std::uint64_t runs = counts.is_object() ? counts.value("runs", last) : last;
        if (runs > last) {
            last = runs;
            gray.lastRun = net::now() - changed;
        }
        std::this_thread::sleep_for(watchPeriod);
    }
    gray.runs = last - before;
}

void printRow(const char *name, const CallersCount &count)
{
    std::cout << std::left << std::setw(10) << name << std::right << std::setw(10) << count.sent << std::setw(10) << count.answered
              << std::setw(16) << count.upstreamErrors << std::setw(10) << count.refusedNotRun << std::setw(10) << count.refusedUnknown
              << std::setw(6) << count.lost << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: callers INSTANCES UPSTREAMS GRAY SECONDS\n";
        return 2;
    }
    standins::CallersPlan plan;
    plan.instances = split(argv[1], ',');
    plan.customer = "demo";
    plan.readService = "catalogue";
    plan.readPath = "/products/7";
    plan.orderService = "orders";
    plan.orderPath = "/orders";
    plan.length = std::chrono::seconds{std::atoi(argv[4])};
    std::vector<GrayFailure> grayFailures;
    for (const std::string &text : split(argv[3], ',')) {
        const auto parts = split(text, '@');
        grayFailures.push_back({parts.at(0), std::atoi(parts.at(1).c_str()), parts.at(2)});
    }
    Callers callers(plan);
    {
        std::vector<std::jthread> watchers;
        watchers.reserve(grayFailures.size());
        for (GrayFailure &gray : grayFailures) {
            watchers.emplace_back([&gray] {
                watch(gray);
            });
        }
        callers.run();
    }
    std::map<std::string, std::uint64_t> runs;
    bool counted = true;
    for (const std::string &address : split(argv[2], ',')) {
        const nlohmann::json counts = countsOf("http://" + address);
        if (!counts.is_object()) {
            std::cerr << "read counts: " << address << ": no answer\n";
            counted = false;
            continue;
        }
        for (const auto &entry : counts.at("keys").items()) {
            runs[entry.key()] += entry.value().get<std::uint64_t>();
        }
    }
    std::uint64_t doubled = 0;
    std::uint64_t falseNotRun = 0;
    for (const standins::SentOrder &order : callers.sentOrders) {
        std::uint64_t ran = 0;
        for (const std::string &key : order.keys) {
            ran += runs.contains(key) ? runs.at(key) : 0;
        }
        doubled += ran > 1 ? 1 : 0;
        falseNotRun += order.saidNotRun && ran > 0 ? 1 : 0;
    }
    std::cout << "requests        sent  answered  upstream error   not-run   unknown  lost\n";
    printRow("reads", callers.reads);
    printRow("orders", callers.orders);
    std::cout << "resends of answered orders: " << callers.resends << ", with a different answer: " << callers.changedAnswers << "\n"
              << "orders run twice: " << doubled << ", run although reported as not run: " << falseNotRun << "\n";
    bool watched = true;
    for (const GrayFailure &gray : grayFailures) {
        std::cout << "gray " << gray.query << ": last run after " << std::fixed << std::setprecision(2) << toSeconds(gray.lastRun) << " s, "
                  << gray.runs << " runs\n";
        watched = watched && gray.watched;
    }
    const std::uint64_t lost = callers.reads.lost + callers.orders.lost;
    const bool worked = counted && watched && callers.reads.answered > 0 && callers.orders.answered > 0;
    return doubled + falseNotRun + lost + callers.changedAnswers == 0 && worked ? 0 : 1;
}
