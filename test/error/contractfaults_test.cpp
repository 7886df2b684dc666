/** Guards against contract faults that are missed, reported twice or reported on the wrong line, and against malicious
 * texts that exhaust or crash the parser.
 */
#include "contract/parsecontract.h"
#include "contract/utf8.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace jackdawdoor::contract;

namespace {

const std::string valid = R"({
  "customer": "acme",
  "organisationHeader": "X-Office",
  "weight": "detection-time",
  "services": [
    { // the only service
      "name": "orders",
      "peakRequestsPerSecond": 100,
      "healthyFloor": 2,
      "upstreamDefaults": {
        "slots": 6,
        "connections": 400
      },
      "upstreams": [
        { "name": "a1", "address": "127.0.0.1:8001", "dataCentre": "north" },
        { "name": "a2", "address": "127.0.0.2:8001", "dataCentre": "north" },
        { "name": "a3", "address": "127.0.0.3:8001", "dataCentre": "north",
          "slots": 7, "connections": 7 }
      ],
      "operations": [
        { // place
          "name": "place",
          "method": "POST",
          "pathPrefix": "/orders",
          "idempotent": false,
          "usefulWithin": "5s",
          "largestRequest": "64KiB",
          "largestAnswer": "65KiB"
        },
        { // read
          "name": "read",
          "method": "GET",
          "pathPrefix": "/reads/",
          "idempotent": true,
          "usefulWithin": "1s",
          "largestRequest": "4KiB",
          "largestAnswer": "1MiB",
          "wrongAnswer": { /* a stale
            or short answer */
            "statuses": [
              500,
              503,
              504
            ],
            "freshnessHeader": "Age",
            "maximumAge": "30s",
            "contentType": "text/",
            "minimumBody": "2B"
          }
        },
        { "name": "list", "method": "GET",
          "pathPrefix": "/reads/all",
          "idempotent": true, "usefulWithin": "2s", "largestRequest": "0B", "largestAnswer": "2MiB" }
      ]
    }
  ]
}
)";

/** A replacement in the valid text that causes exactly one fault. Each row changes different lines. */
struct Change {
    std::string find;
    std::string replace;
    std::string keyPath;
    std::string reason; ///< part of the expected reason
    std::string marker; ///< text on the expected line of the fault
};

const std::string service = "services[0].";
const std::string place = service + "operations[0].";
const std::string read = service + "operations[1].";

const std::vector<Change> changes{
    {R"("customer": "acme")", R"("customer": "a/b")", "customer", "\"a/b\" is not accepted", "\"a/b\""},
    {R"("organisationHeader": "X-Office")", R"("organisationHeader": "X Office")", "organisationHeader", "not accepted", "X Office"},
    {R"("weight": "detection-time")", R"("weight": "both")", "weight", "\"both\"", "\"both\""},
    {R"("name": "orders",)", "", service + "name", "missing", "the only service"},
    {R"("peakRequestsPerSecond": 100)", R"("peakRequestsPerSecond": 1e300)", service + "peakRequestsPerSecond", "1e+300", "1e300"},
    {R"("healthyFloor": 2)", R"("healthyFloor": 4)", service + "healthyFloor", "exceeds the number of upstreams", "\"healthyFloor\": 4"},
    {R"("connections": 400)", R"("connections": 0)", service + "upstreamDefaults.connections", "number 0", "\"connections\": 0"},
    {"8001\", \"dataCentre\": \"north\" },\n        { \"name\": \"a2\"",
     "99999\", \"dataCentre\": \"north\" },\n        { \"name\": \"a2\"",
     service + "upstreams[0].address",
     "127.0.0.1:99999",
     "99999"},
    {R"("name": "a2", "address": "127.0.0.2:8001")",
     R"("name": "a1", "address": "127.0.0.2:8001")",
     service + "upstreams[1].name",
     "already used",
     "127.0.0.2"},
    {R"("address": "127.0.0.3:8001")", R"("address": "127.0.0.2:8001")", service + "upstreams[2].address", "already used", "\"a3\""},
    {R"("slots": 7, "connections": 7)",
     R"("slots": 8, "connections": 7)",
     service + "upstreams[2].connections",
     "can't use 8 slots",
     "\"slots\": 8"},
    {R"("name": "place")", R"("name": "read")", read + "name", "already used", "\"name\": \"read\",\n          \"method\": \"GET\""},
    {R"("method": "POST")", R"("method": "post")", place + "method", "\"post\"", "\"post\""},
    {R"("pathPrefix": "/orders")", R"("pathPrefix": "/orders/../x")", place + "pathPrefix", "not accepted", "/../"},
    {R"("idempotent": false)", R"("idempotent": "no")", place + "idempotent", "\"no\"", "\"no\""},
    {R"("usefulWithin": "5s")", R"("usefulWithin": 5)", place + "usefulWithin", "number 5", "\"usefulWithin\": 5"},
    {R"("largestRequest": "64KiB")", R"("largestRequest": "65MiB")", place + "largestRequest", "65MiB", "65MiB"},
    {R"("largestAnswer": "65KiB")", R"("largestAnswer": "65TB")", place + "largestAnswer", "65TB", "65TB"},
    {R"("usefulWithin": "1s")", R"("usefulWithin": "11m")", read + "usefulWithin", "11m", "11m"},
    {R"("largestRequest": "4KiB")", R"("largestRequest": "4KiB", "retries": 5)", read + "retries", "unknown", "retries"},
    {R"("largestAnswer": "1MiB")", R"("largestAnswer": "1MiB", "name": "x")", read + "name", "already given on line", "\"x\""},
    {"              504", "              503", read + "wrongAnswer.statuses[2]", "already used", "              503\n            ]"},
    {"              500,", "              99,", read + "wrongAnswer.statuses[0]", "number 99", " 99,"},
    {R"("freshnessHeader": "Age",)", "", read + "wrongAnswer.freshnessHeader", "missing", "a stale"},
    {R"("contentType": "text/")", R"("contentType": null)", read + "wrongAnswer.contentType", "null", "null"},
    {R"("minimumBody": "2B")", R"("minimumBody": "2MiB")", read + "wrongAnswer.minimumBody", "exceeds", "2MiB\"\n          }"},
    {R"("pathPrefix": "/reads/all")", R"("pathPrefix": "/reads")", service + "operations[2].pathPrefix", "already used", "\"/reads\""},
    {R"("idempotent": true, "usefulWithin")",
     R"("idempotent": true, "keyRequired": true, "usefulWithin")",
     service + "operations[2].keyRequired",
     "needs no keys",
     "keyRequired"},
};

int lineOf(const std::string &text, std::string_view part)
{
    const auto position = text.find(part);
    REQUIRE_MESSAGE(position != std::string::npos, "the text lacks " << part);
    return 1 + static_cast<int>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(position), '\n'));
}

std::string apply(std::string text, const Change &change)
{
    const auto position = text.find(change.find);
    REQUIRE_MESSAGE(position != std::string::npos, "the valid text lacks " << change.find);
    return text.replace(position, change.find.size(), change.replace);
}

std::string soleFault(const std::string &text)
{
    const ParseResult result = parseContract(text);
    return result.faults.size() == 1 ? std::to_string(result.faults[0].line) + ": " + result.faults[0].reason : "no single fault";
}

} // namespace

TEST_CASE("each kind of fault is reported alone, with key, line, reason and range")
{
    REQUIRE_MESSAGE(parseContract(valid).accepted(), "the valid text is refused");
    for (const Change &change : changes) {
        CAPTURE(change.replace);
        const std::string text = apply(valid, change);
        const ParseResult result = parseContract(text);
        CHECK_MESSAGE(!result.accepted(), "a faulty contract is accepted");
        REQUIRE_MESSAGE(result.faults.size() == 1, "one change gives " << result.faults.size() << " faults");
        const Fault &fault = result.faults.front();
        CHECK_MESSAGE(fault.keyPath == change.keyPath, "the fault is at another key");
        CHECK_MESSAGE(fault.line == lineOf(text, change.marker), "the fault is on another line");
        CHECK_MESSAGE(fault.reason.find(change.reason) != std::string::npos, fault.reason << " is another reason");
        CHECK_MESSAGE(!fault.acceptedRange.empty(), "the fault names no accepted range");
    }
}

TEST_CASE("all faults of a contract are reported at once, wherever it starts")
{
    CHECK_MESSAGE(rc::check("several changes",
                            [] {
                                const auto chosen = *rc::gen::container<std::vector<bool>>(changes.size(), rc::gen::arbitrary<bool>());
                                std::string text = std::string(*rc::gen::inRange<std::size_t>(0, 5), '\n') + valid;
                                for (std::size_t index = 0; index < changes.size(); ++index) {
                                    text = chosen[index] ? apply(text, changes[index]) : text;
                                }
                                std::multiset<std::pair<std::string, int>> expected;
                                for (std::size_t index = 0; index < changes.size(); ++index) {
                                    if (chosen[index]) {
                                        expected.emplace(changes[index].keyPath, lineOf(text, changes[index].marker));
                                    }
                                }
                                std::multiset<std::pair<std::string, int>> reported;
                                for (const Fault &fault : parseContract(text).faults) {
                                    reported.emplace(fault.keyPath, fault.line);
                                }
                                RC_ASSERT(reported == expected);
                            }),
                  "several faults hide one another or change one another's lines");
}

TEST_CASE("lists that are empty or of another type are faults")
{
    CHECK_MESSAGE(soleFault(R"({"customer":"a","weight":"detection-time","services":[]})") == "1: an empty list is not accepted",
                  "a contract without services is accepted");
    CHECK_MESSAGE(soleFault("{\"customer\":\"a\",\"weight\":\"detection-time\",\n\"services\":{}}") == "2: an object is not accepted",
                  "an object is accepted as a list");
    CHECK_MESSAGE(soleFault("\n[1]") == "2: a list is not accepted", "a list is accepted as a contract");
}

TEST_CASE("malicious texts are refused by the limits")
{
    const std::string deep(100'000, '[');
    CHECK_MESSAGE(soleFault(deep).find("nested too deeply") != std::string::npos, "deep nesting is not refused");
    CHECK_MESSAGE(soleFault(std::string(maximumContractBytes + 1, ' ')).find("bytes") != std::string::npos, "a huge text is not refused");
    std::string wide = "[1";
    while (wide.size() < 300'000) {
        wide += ",1";
    }
    CHECK_MESSAGE(soleFault(wide + "]").find("too many values") != std::string::npos, "very many values are not refused");
    CHECK_MESSAGE(soleFault("{\n// caf\xe9\n}").starts_with("2: a byte is not part of valid UTF-8"), "invalid UTF-8 is not refused");
    CHECK_MESSAGE(soleFault("{\"a\": 1,\n\n}").starts_with("3: syntax error"), "a syntax error has no line or no reason");
    std::string manyKeys = "{";
    for (int key = 0; key < 20'000; ++key) {
        manyKeys += "\"" + std::string(1, '\x01' + static_cast<char>(31)) + std::to_string(key) + "\":0,\n";
    }
    CHECK_MESSAGE(parseContract(manyKeys + "\"x\":0}").faults.size() == 1001, "the list of faults is not bounded");
}

TEST_CASE("damaged contracts never crash the parser and their faults name lines of the text")
{
    CHECK_MESSAGE(rc::check("random damage",
                            [] {
                                std::string text = valid;
                                const int edits = *rc::gen::inRange(1, 6);
                                for (int edit = 0; edit < edits; ++edit) {
                                    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
                                    const auto length = *rc::gen::inRange<std::size_t>(0, 4);
                                    const auto insert =
                                        *rc::gen::element<std::string>("", "{", "]", "\"", "\n", "0", "/*", "\\u0000", "\xff");
                                    text.replace(position, length, insert);
                                }
                                const ParseResult result = parseContract(text);
                                const auto lines = 1 + std::count(text.begin(), text.end(), '\n');
                                RC_ASSERT(result.accepted() == result.faults.empty());
                                for (const Fault &fault : result.faults) {
                                    RC_ASSERT(fault.line >= 1);
                                    RC_ASSERT(fault.line <= lines);
                                }
                            }),
                  "a damaged text gives an inconsistent result or a fault outside the text");
}

TEST_CASE("UTF-8 validation agrees with the JSON library")
{
    const auto libraryAccepts = [](const std::string &text) {
        try {
            nlohmann::json(text).dump();
            return true;
        } catch (const nlohmann::json::exception &) {
            return false;
        }
    };
    // The first and last bytes of each range that RFC 3629 distinguishes, in all sequences of four.
    const std::string bytes("\x00\x7f\x80\x8f\x90\x9f\xa0\xbf\xc0\xc1\xc2\xdf\xe0\xe1\xec\xed\xee\xef\xf0\xf1\xf3\xf4\xf5\xff", 24);
    int differences = 0;
    for (const char first : bytes) {
        for (const char second : bytes) {
            for (const char third : bytes) {
                for (const char fourth : {'a', '\x80', '\xc2'}) {
                    const std::string text{first, second, third, fourth};
                    differences += !firstInvalidUtf8(text).has_value() == libraryAccepts(text) ? 0 : 1;
                }
            }
        }
    }
    CHECK_MESSAGE(differences == 0, differences << " texts are judged differently by the two validations");
}
