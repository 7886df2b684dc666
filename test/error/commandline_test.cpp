/** Guards against commands that fail without naming the step and the peer, or whose exit code hides the failure. */
#include "cli/commandline.h"
#include "net/instancecore.h"
#include "standins/logservice.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace jackdawdoor;

namespace {

struct Run {
    int exitCode = 0;
    std::string out;
    std::string err;
};

Run runWith(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "jackdawdoor");
    std::vector<char *> pointers;
    pointers.reserve(arguments.size());
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    std::ostringstream out;
    std::ostringstream err;
    const int exitCode = cli::runCommandLine(static_cast<int>(pointers.size()), pointers.data(), net::makeInstanceCore, out, err);
    return {exitCode, out.str(), err.str()};
}

const std::string example = JACKDAWDOOR_SOURCE_DIR "/examples/quetzal.contract.json";

} // namespace

TEST_CASE("each command has help with its exit codes")
{
    for (const char *command : {"check", "explain", "publish", "status", "place", "serve"}) {
        const Run run = runWith({command, "--help"});
        CHECK_MESSAGE(run.exitCode == cli::Success, command << " has no help");
        CHECK_MESSAGE(run.out.find("Exit codes: 0") != std::string::npos, command << " does not explain its exit codes");
    }
}

TEST_CASE("faulty command lines are refused before any request is sent")
{
    const std::vector<std::vector<std::string>> faulty{
        {"check"},
        {"check", example, example},
        {"status"},
        {"status", "--instance=http://127.0.0.1:1", "--unknown"},
        {"publish", example, "--instance=http://127.0.0.1:1"},
        {"publish", "--instance=http://127.0.0.1:1", "--log=http://127.0.0.1:1"},
        {"publish", example, "--delete=quetzal", "--instance=http://127.0.0.1:1", "--log=x"},
        {"publish", example, "--instance=http://127.0.0.1:1", "--log=x", "--delete=", "--wait=soon"},
        {"publish", example, "--instance=http://127.0.0.1:1", "--log=x", "--delete=", "--wait=5"}};
    for (const auto &arguments : faulty) {
        const Run run = runWith(arguments);
        CHECK_MESSAGE(run.exitCode == cli::Usage, "accepted: " << arguments.front() << " with " << arguments.size() - 1 << " arguments");
        CHECK_MESSAGE(!run.err.empty(), "the fault is not explained");
    }
}

TEST_CASE("commands name the step and the peer that failed")
{
    const standins::LogService other;
    const std::string wrong = other.server().url();
    const Run status = runWith({"status", "--instance=" + wrong});
    CHECK_MESSAGE(status.exitCode == cli::Failed, "a server that is not an instance was accepted as one");
    CHECK_MESSAGE(status.err.starts_with("read status: " + wrong), "the step or peer is missing: " << status.err);
    const Run publish = runWith({"publish", example, "--delete=", "--wait=0", "--fleet=", "--instance=" + wrong, "--log=" + wrong});
    CHECK_MESSAGE(publish.exitCode == cli::Unreachable, "a contract was published without a base version");
    CHECK_MESSAGE(publish.err.starts_with("read the version in force: " + wrong), "the step or peer is missing: " << publish.err);
    const Run closed = runWith({"status", "--instance=http://127.0.0.1:1"});
    CHECK_MESSAGE(closed.exitCode == cli::Unreachable, "an unreachable instance has the exit code of a refusal");
}
