/** Organisations: lookup by API key, authentication of a request, and decoding from the operator's configuration. */
#include "platform/documents.h"
#include "routing/authentication.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace jackdawdoor;
using namespace jackdawdoor::routing;
using Verdict = Authentication::Verdict;
using Rejection = Authentication::Rejection;

namespace {

std::string testHash(std::string_view apiKey)
{
    return "hash of " + std::string(apiKey);
}

Organisation organisation(const std::string &name, std::optional<int> priority = {})
{
    return {OrganisationId{name}, priority, 0, 0};
}

OrganisationTable twoOrganisations()
{
    return OrganisationTable::Builder(testHash).add(organisation("north"), {"n1", "n2"}).add(organisation("south", 1), {"s1"}).build();
}

std::string nameOf(const Organisation *found)
{
    return found == nullptr ? "" : found->name.value;
}

/** Organisation that the Authorization header authenticates, or an empty string. */
std::string accepted(std::string_view authorization)
{
    const OrganisationTable table = twoOrganisations();
    const Authentication result = authenticate(table, Route{}, {authorization});
    CHECK((result.verdict == Verdict::Accepted) == (result.organisation != nullptr));
    return nameOf(result.organisation);
}

Rejection rejection(const std::vector<std::string_view> &authorizations)
{
    const OrganisationTable table = twoOrganisations();
    const Authentication result = authenticate(table, Route{}, authorizations);
    CHECK(result.verdict == Verdict::Rejected);
    CHECK(result.organisation == nullptr);
    return result.rejection;
}

nlohmann::json document()
{
    return nlohmann::json::parse(R"({"version":"0000000a","clusters":[],"listeners":[{"host":"h.example","rules":[
        {"match":{"path-prefix":"/a/"},"action":{"service":"svc"},"priority":3},
        {"match":{"path-prefix":"/open/"},"action":{"service":"svc"},"public":true}]}]})");
}

RouteTablePointer decode(const nlohmann::json &configuration)
{
    const auto table = platform::decodeConfiguration(configuration.dump());
    REQUIRE_MESSAGE(table.has_value(), "not decoded: " << table.error());
    return table.value();
}

} // namespace

TEST_CASE("an API key is found only in full, and each key of an organisation is found")
{
    const OrganisationTable table = twoOrganisations();
    CHECK(nameOf(table.find("n1")) == "north");
    CHECK(nameOf(table.find("n2")) == "north");
    CHECK(nameOf(table.find("s1")) == "south");
    for (const std::string &wrong : {std::string{}, std::string{"n"}, std::string{"n11"}, std::string{"N1"}, std::string(100'000, 'n')}) {
        CHECK_MESSAGE(table.find(wrong) == nullptr, "accepted a key of " << wrong.size() << " bytes");
    }
}

TEST_CASE("a key longer than all known keys is not hashed, so that it costs nothing")
{
    int hashed = 0;
    const OrganisationTable table = OrganisationTable::Builder([&hashed](std::string_view apiKey) {
                                        ++hashed;
                                        return std::string(apiKey);
                                    })
                                        .add(organisation("north"), {"n1"})
                                        .build();
    hashed = 0;
    CHECK(table.find(std::string(16'000, 'n')) == nullptr);
    CHECK(hashed == 0);
}

TEST_CASE("a key of two organisations belongs to the alphabetically first one, whatever the order of the document")
{
    for (const bool reversed : {false, true}) {
        OrganisationTable::Builder builder(testHash);
        builder.add(organisation(reversed ? "b" : "a"), {"shared", reversed ? "kb" : "ka"});
        builder.add(organisation(reversed ? "a" : "b"), {"shared", reversed ? "ka" : "kb"});
        const OrganisationTable table = builder.build();
        CHECK(nameOf(table.find("shared")) == "a");
        CHECK(nameOf(table.find("ka")) == "a");
        CHECK(nameOf(table.find("kb")) == "b");
        CHECK(table.sharedKeys() == std::vector<SharedApiKey>{{OrganisationId{"a"}, OrganisationId{"b"}}});
    }
}

TEST_CASE("two entries of one name are one organisation with the keys of both")
{
    const OrganisationTable table =
        OrganisationTable::Builder(testHash).add(organisation("a", 1), {"k1", "k1"}).add(organisation("a", 2), {"k1", "k2"}).build();
    CHECK(table.organisations() == std::vector<Organisation>{organisation("a", 1)});
    CHECK(nameOf(table.find("k2")) == "a");
    CHECK(table.sharedKeys().empty());
}

TEST_CASE("an empty API key in the configuration authenticates nobody")
{
    const OrganisationTable table = OrganisationTable::Builder(testHash).add(organisation("a"), {""}).build();
    CHECK(table.find("") == nullptr);
    CHECK(authenticate(table, Route{}, {"Bearer "}).verdict == Verdict::Rejected);
}

TEST_CASE("the scheme is accepted in any case, with any white space around the key")
{
    for (const char *value :
         {"Bearer n1", "bearer n1", "BEARER n1", "bEaReR n1", "Bearer   n1", "Bearer\tn1", "Bearer \t n1 \t", " Bearer n1"}) {
        CHECK_MESSAGE(accepted(value) == "north", "rejected: " << value);
    }
    CHECK(accepted("Bearer s1") == "south");
}

TEST_CASE("a request without one valid key is rejected with the reason")
{
    CHECK(rejection({}) == Rejection::NoKey);
    CHECK(rejection({"Bearer n1", "Bearer n1"}) == Rejection::SeveralHeaders);
    CHECK(rejection({"Bearer wrong", "Bearer n1"}) == Rejection::SeveralHeaders);
    for (const char *value : {"", " ", "n1", "Bearer", "Bearer ", "Bearer\t ", "Basic n1", "Bearern1", "Bearers n1", "Bear n1"}) {
        CHECK_MESSAGE(rejection({value}) == Rejection::Malformed, "not malformed: " << value);
    }
    for (const char *value : {"Bearer n", "Bearer n1x", "Bearer N1", "Bearer n1 n1", "Bearer n1,", "Bearer \"n1\""}) {
        CHECK_MESSAGE(rejection({value}) == Rejection::UnknownKey, "not unknown: " << value);
    }
    CHECK(rejection({"Bearer " + std::string(15'000, 'k')}) == Rejection::UnknownKey);
}

TEST_CASE("a public route needs no key, rejects none and names no organisation")
{
    const OrganisationTable table = twoOrganisations();
    Route open;
    open.isPublic = true;
    for (const std::vector<std::string_view> &authorizations :
         std::vector<std::vector<std::string_view>>{{}, {"Bearer n1"}, {"Bearer wrong"}, {"Basic x", "Bearer n1"}, {""}}) {
        CHECK(authenticate(table, open, authorizations) == Authentication{});
    }
}

TEST_CASE("without organisations no key is required, and an empty list of organisations rejects every key")
{
    CHECK(authenticate(OrganisationTable{}, Route{}, {"Bearer n1", "x"}) == Authentication{});
    const OrganisationTable none = OrganisationTable::Builder(testHash).build();
    CHECK(none.enabled());
    CHECK(authenticate(none, Route{}, {"Bearer n1"}).rejection == Rejection::UnknownKey);
}

TEST_CASE("an organisation's priority takes precedence over the route's, and one without leaves it in force")
{
    Route route;
    route.priority = 4;
    const Organisation urgent = organisation("a", 0);
    const Organisation plain = organisation("b");
    CHECK(effectivePriority(route, &urgent) == 0);
    CHECK(effectivePriority(route, &plain) == 4);
    CHECK(effectivePriority(route, nullptr) == 4);
}

TEST_CASE("a configuration without organisations decodes as before")
{
    const RouteTablePointer table = decode(document());
    CHECK(!table->organisations().enabled());
    CHECK(!table->match("h.example", "/a/")->isPublic);
}

TEST_CASE("organisations and public routes are decoded")
{
    nlohmann::json configuration = document();
    configuration["tenants"] = nlohmann::json::parse(R"([
        {"name":"south","api-keys":["s1"]},
        {"name":"north","api-keys":["n1","n2"],"priority":1,"rate-per-s":172.5,"burst":20},
        {"name":"keyless","rate-per-s":3}])");
    const RouteTablePointer table = decode(configuration);
    CHECK(table->match("h.example", "/open/x")->isPublic);
    CHECK(!table->match("h.example", "/a/x")->isPublic);
    REQUIRE(table->organisations().find("n2") != nullptr);
    CHECK(*table->organisations().find("n2") == Organisation{OrganisationId{"north"}, 1, 172.5, 20});
    CHECK(*table->organisations().find("s1") == Organisation{OrganisationId{"south"}, std::nullopt, 0, 0});
    CHECK(table->organisations().organisations().front() == Organisation{OrganisationId{"keyless"}, std::nullopt, 3, 0});
    configuration["tenants"] = nlohmann::json::array();
    CHECK(decode(configuration)->organisations().enabled());
}

TEST_CASE("a configuration with an unusable organisation is rejected whole, so that the one in force stays")
{
    const std::vector<std::string> unusable{R"(null)",
                                            R"({})",
                                            R"([{"api-keys":["k"]}])",
                                            R"([{"name":"","api-keys":["k"]}])",
                                            R"([{"name":"a\r\nX-Other: b"}])",
                                            R"([{"name":"a","api-keys":"k"}])",
                                            R"([{"name":"a","api-keys":[7]}])",
                                            R"([{"name":"a","rate-per-s":-1}])",
                                            R"([{"name":"a","rate-per-s":1,"burst":-1}])",
                                            R"([{"name":"a","priority":"high"}])"};
    for (const std::string &tenants : unusable) {
        nlohmann::json configuration = document();
        configuration["tenants"] = nlohmann::json::parse(tenants);
        CHECK_MESSAGE(!platform::decodeConfiguration(configuration.dump()).has_value(), "accepted: " << tenants);
    }
}

TEST_CASE("the error about a configuration that is not JSON does not quote an API key")
{
    nlohmann::json configuration = document();
    configuration["tenants"] = nlohmann::json::parse(R"([{"name":"a","api-keys":["secretkey"]}])");
    std::string text = configuration.dump();
    text.insert(text.find("secretkey") + std::string("secretkey").size(), "\x01"); // a control character within a string
    const auto table = platform::decodeConfiguration(text);
    REQUIRE(!table.has_value());
    CHECK_MESSAGE(table.error().message().find("secretkey") == std::string::npos, table.error().message());
}

TEST_CASE("a public route does not open the paths of others to requests with dot segments or escapes in their paths")
{
    Route open;
    open.host = "h.example";
    open.pathPrefix = "/open/";
    open.isPublic = true;
    Route closed = open;
    closed.pathPrefix = "/closed/";
    closed.isPublic = false;
    const RouteTable table(1, {open, closed}, {}, {});
    const auto needsKey = [&table](std::string_view path) {
        const Route *route = table.match("h.example", path);
        REQUIRE(route != nullptr);
        return !authenticationRoute(table, *route, "h.example", path).isPublic;
    };
    for (const char *path : {"/open/../closed/a",
                             "/open/%2e%2E/closed/a",
                             "/open/..%2fclosed/a",
                             "/open/..\\closed/a",
                             "/open/.//../closed/a",
                             "/open/..;x/closed/a",
                             "/open/x/../../closed/",
                             "/closed/../open/a"}) {
        CHECK_MESSAGE(needsKey(path), "needs no key: " << path);
    }
    for (const char *path : {"/open/", "/open/a", "/open/a/../b", "/open//a", "/open/%", "/open/%zz", "/open/a;b", "/open/../other/a"}) {
        CHECK_MESSAGE(!needsKey(path), "needs a key: " << path);
    }
}
