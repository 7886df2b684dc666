#include "standins/callers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace jackdawdoor::standins {

namespace {

using nlohmann::json;

constexpr Duration requestTimeout = std::chrono::seconds{12};
// An order refused as not run is retried with a new key for this long.
constexpr Duration orderRetryTime = std::chrono::seconds{8};
constexpr Duration minimumPause = std::chrono::milliseconds{100};
constexpr int maximumOutcomeQueries = 5;
constexpr std::uint64_t resendEvery = 4;
constexpr int firstErrorStatus = 400;

} // namespace

Callers::Callers(CallersPlan plan)
    : m_plan(std::move(plan))
{
}

void Callers::run()
{
    const TimePoint end = net::now() + m_plan.length;
    std::vector<std::jthread> threads;
    threads.reserve(static_cast<std::size_t>(m_plan.readers) + static_cast<std::size_t>(m_plan.orderers));
    for (int number = 0; number < m_plan.readers; ++number) {
        threads.emplace_back([this, end, number] {
            readUntil(end, number);
        });
    }
    for (int number = 0; number < m_plan.orderers; ++number) {
        threads.emplace_back([this, end, number] {
            orderUntil(end, number);
        });
    }
}

void Callers::refresh(Place &place, const std::string &service, const std::string &caller) const
{
    std::vector<std::string> known = place.addresses;
    known.insert(known.end(), m_plan.instances.begin(), m_plan.instances.end());
    for (const std::string &address : known) {
        net::FetchRequest request;
        request.url = "http://";
        request.url.append(address).append("/v1/place?customer=").append(m_plan.customer);
        request.url.append("&service=").append(service).append("&caller=").append(caller);
        const auto answer = net::fetchAndWait(request);
        const json parsed = answer.has_value() ? json::parse(answer.value().body, nullptr, false) : json();
        if (!parsed.is_object() || !parsed.contains("addresses")) {
            continue;
        }
        place.addresses = parsed["addresses"].get<std::vector<std::string>>();
        place.ticket = parsed.value("ticket", "");
        place.heldUntil = net::now() + std::chrono::milliseconds{parsed.value("hold_ms", 0)};
        return;
    }
}

Callers::Answer
Callers::ask(const Place &place, const net::FetchRequest &request, const std::string &target, std::size_t firstAddress) const
{
    for (std::size_t index = 0; index < place.addresses.size(); ++index) {
        net::FetchRequest sent = request;
        sent.url = "http://" + place.addresses[(firstAddress + index) % place.addresses.size()] + target;
        sent.timeout = requestTimeout;
        const auto answer = net::fetchAndWait(sent);
        if (!answer.has_value()) {
            continue;
        }
        const json refusal = json::parse(answer.value().body, nullptr, false);
        if (refusal.is_object() && refusal.contains("disposition")) {
            const Duration wait = refusal["retry_after_ms"].is_number()
                                      ? std::chrono::milliseconds{refusal["retry_after_ms"].get<std::int64_t>()}
                                      : Duration{};
            // A stopping instance accepts no new requests; tries the next one.
            if (refusal["stage"] == "stopping" && request.method == "GET" && index + 1 < place.addresses.size()) {
                continue;
            }
            return {refusal["disposition"] == "not-run" ? End::NotRun : End::Unknown, answer.value().body, wait};
        }
        return {answer.value().status < firstErrorStatus ? End::Answered : End::UpstreamError, answer.value().body, {}};
    }
    return {};
}

void Callers::readUntil(TimePoint end, int number)
{
    const std::string caller = "reader-" + std::to_string(number);
    Place place;
    while (net::now() < end) {
        if (net::now() >= place.heldUntil) {
            refresh(place, m_plan.readService, caller);
        }
        const Answer answer = ask(place, {}, "/" + m_plan.customer + "/" + m_plan.readService + m_plan.readPath);
        if (answer.end == End::NoAnswer) {
            place.heldUntil = TimePoint{};
        }
        count(reads, answer.end);
        std::this_thread::sleep_for(m_plan.readPause);
    }
}

void Callers::orderUntil(TimePoint end, int number)
{
    const std::string caller = "buyer-" + std::to_string(number);
    Place place;
    while (net::now() < end) {
        SentOrder sent;
        const std::uint64_t orderNumber = m_nextOrder++;
        const std::string body = R"({"order":)" + std::to_string(orderNumber) + "}";
        const Answer answer = order(caller, place, sent, body);
        if (answer.end == End::Answered && orderNumber % resendEvery == 0) {
            resend(place, sent.keys.back(), body, answer.body);
        }
        sent.saidNotRun = answer.end == End::NotRun;
        count(orders, answer.end);
        {
            const std::lock_guard lock(m_mutex);
            sentOrders.push_back(std::move(sent));
        }
        std::this_thread::sleep_for(m_plan.orderPause);
    }
}

Callers::Answer Callers::order(const std::string &caller, Place &place, SentOrder &sent, const std::string &body)
{
    const TimePoint started = net::now();
    Answer answer;
    while (true) {
        if (net::now() >= place.heldUntil) {
            refresh(place, m_plan.orderService, caller);
        }
        if (place.ticket.empty() && net::now() - started < orderRetryTime) {
            // No ticket yet: no two instances are available to hold a key.
            place.heldUntil = TimePoint{};
            std::this_thread::sleep_for(minimumPause);
            continue;
        }
        const std::string key = place.ticket + "." + caller + "-" + std::to_string(m_nextNonce++);
        sent.keys.push_back(key);
        net::FetchRequest request;
        request.method = "POST";
        request.body = body;
        request.headers = {{"Idempotency-Key", key}, {"Content-Type", "application/json"}};
        answer = ask(place, request, "/" + m_plan.customer + "/" + m_plan.orderService + m_plan.orderPath);
        if (answer.end == End::NoAnswer || answer.end == End::Unknown) {
            answer = outcome(place, key);
        }
        if (answer.end != End::NotRun || net::now() - started >= orderRetryTime) {
            return answer;
        }
        // The order is guaranteed not to have run, so a new key from a new ticket is safe.
        place.heldUntil = TimePoint{};
        std::this_thread::sleep_for(std::max(answer.retryAfter, minimumPause));
    }
}

Callers::Answer Callers::outcome(const Place &place, const std::string &key)
{
    Answer answer;
    for (int question = 0; question < maximumOutcomeQueries; ++question) {
        Place asked = place;
        asked.addresses.insert(asked.addresses.end(), m_plan.instances.begin(), m_plan.instances.end());
        answer = ask(asked, {}, "/v1/outcome?key=" + key, static_cast<std::size_t>(question));
        if (answer.end != End::NoAnswer && answer.end != End::Unknown) {
            break;
        }
        std::this_thread::sleep_for(minimumPause);
    }
    return answer;
}

void Callers::resend(const Place &place, const std::string &key, const std::string &body, const std::string &first)
{
    net::FetchRequest request;
    request.method = "POST";
    request.body = body;
    request.headers = {{"Idempotency-Key", key}, {"Content-Type", "application/json"}};
    const Answer again = ask(place, request, "/" + m_plan.customer + "/" + m_plan.orderService + m_plan.orderPath, 1);
    const std::lock_guard lock(m_mutex);
    ++resends;
    changedAnswers += again.end == End::Answered && again.body != first ? 1 : 0;
}

void Callers::count(CallersCount &counts, End end)
{
    const std::lock_guard lock(m_mutex);
    ++counts.sent;
    counts.answered += end == End::Answered ? 1 : 0;
    counts.upstreamErrors += end == End::UpstreamError ? 1 : 0;
    counts.refusedNotRun += end == End::NotRun ? 1 : 0;
    counts.refusedUnknown += end == End::Unknown ? 1 : 0;
    counts.lost += end == End::NoAnswer ? 1 : 0;
}

} // namespace jackdawdoor::standins
