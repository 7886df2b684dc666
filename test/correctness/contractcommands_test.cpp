/** Guards against example contracts that no longer parse or differ from the deployments, and against commands that hide faults. */
#include "cli/checkcommand.h"
#include "cli/explaincommand.h"
#include "contract/parsecontract.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

using namespace jackdawdoor;

namespace {

std::string projectFile(const std::string &path)
{
    return (std::filesystem::path(__FILE__).parent_path().parent_path().parent_path() / path).string();
}

std::string exampleFile(const std::string &customer)
{
    return projectFile("examples/" + customer + ".contract.json");
}

void checkExample(const std::string &customer, contract::Weight weight, const std::map<std::string, std::size_t> &targets)
{
    CAPTURE(customer);
    std::ostringstream out;
    std::ostringstream err;
    CHECK_MESSAGE(cli::runCheck(exampleFile(customer), out, err) == 0, "the example is refused: " << err.str());
    const auto file = cli::readContractFile(exampleFile(customer), err);
    REQUIRE(file.contract);
    CHECK_MESSAGE(file.contract->weight == weight, "the example has the weight of the other customer");
    std::map<std::string, std::size_t> sizes;
    for (const contract::Service &service : file.contract->services) {
        sizes[service.name] = service.upstreams.size();
        std::set<std::string> dataCentres;
        for (const contract::Upstream &upstream : service.upstreams) {
            dataCentres.insert(upstream.dataCentre.value);
            CHECK_MESSAGE(upstream.slots == 6, "an upstream's slots differ from the deployment's");
            CHECK_MESSAGE(upstream.connections == 400, "an upstream's connections differ from the deployment's");
            CHECK_MESSAGE(upstream.address.starts_with("127."), "an example address is not on the loopback network");
        }
        CHECK_MESSAGE(dataCentres.size() == 3, service.name << " is not in three data centres");
    }
    CHECK_MESSAGE(sizes == targets, "the example's services or sizes differ from the deployment's");
}

} // namespace

TEST_CASE("the examples are accepted and have the sizes of the deployments")
{
    checkExample(
        "ayudas", contract::Weight::FalseEjections, {{"claim-status", 10}, {"payments", 20}, {"documents", 6}, {"eligibility", 6}});
    checkExample("quetzal", contract::Weight::DetectionTime, {{"catalogue", 8}, {"orders", 25}, {"documents", 6}, {"stock", 6}});
}

TEST_CASE("the table and the JSON explain the same values")
{
    std::ostringstream table;
    std::ostringstream json;
    std::ostringstream err;
    CHECK(cli::runExplain(exampleFile("quetzal"), false, table, err) == 0);
    CHECK(cli::runExplain(exampleFile("quetzal"), true, json, err) == 0);
    std::stringstream documentation;
    documentation << std::ifstream(projectFile("docs/contract.md")).rdbuf();
    std::istringstream rows(table.str());
    std::string row;
    std::getline(rows, row);
    const auto ruleColumn = row.find("RULE");
    for (const auto &value : nlohmann::json::parse(json.str())) {
        REQUIRE_MESSAGE(std::getline(rows, row), "the table has fewer rows than the JSON has values");
        std::istringstream cells(row);
        std::string subject;
        std::string name;
        std::string shown;
        cells >> subject >> name >> shown;
        CHECK_MESSAGE(subject == value["subject"], "a row is about another subject");
        CHECK_MESSAGE(name == value["name"], "a row is about another value");
        CHECK_MESSAGE((value["value"].is_null() ? shown == "none" : nlohmann::json::parse(shown) == value["value"]), "a value differs");
        CHECK_MESSAGE(documentation.str().find("| `" + name + "` |") != std::string::npos, name << " is not in docs/contract.md");
        CHECK_MESSAGE(row.substr(ruleColumn) == value["rule"], "the rule is not in its column");
    }
    CHECK_MESSAGE(!std::getline(rows, row), "the table has more rows than the JSON has values");
}

TEST_CASE("faults and unreadable files have their own exit codes")
{
    const auto file = (std::filesystem::current_path() / "faulty.contract.json").string();
    std::ofstream(file) << "{\n\"customer\": 7\n}";
    std::ostringstream out;
    std::ostringstream err;
    CHECK_MESSAGE(cli::runCheck(file, out, err) == 1, "a faulty contract has another exit code");
    CHECK_MESSAGE(cli::runExplain(file, false, out, err) == 1, "a faulty contract is explained");
    std::filesystem::remove(file);
    const std::string fault = file + ":2: customer: the number 7 is not accepted\n    accepted: ";
    CHECK_MESSAGE(err.str().find(fault) != std::string::npos, "the fault's line, key, reason or range is not printed: " << err.str());
    CHECK_MESSAGE(cli::runCheck(file, out, err) == 2, "a missing file has another exit code");
    CHECK_MESSAGE(cli::runCheck(std::filesystem::current_path().string(), out, err) == 2, "a directory has another exit code");
    CHECK_MESSAGE(out.str().empty(), "a refused contract gives output");
}
