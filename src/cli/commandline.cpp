#include "cli/commandline.h"

#include "cli/checkcommand.h"
#include "cli/clientcommands.h"
#include "cli/command.h"
#include "cli/explaincommand.h"
#include "cli/proxycommand.h"
#include "cli/publishcommand.h"
#include "cli/servecommand.h"
#include "net/httpmessage.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

ABSL_FLAG(std::string, settings, "", "settings file of the instance");
ABSL_FLAG(std::string, instance, "", "address of a running instance, such as http://127.0.0.1:8080");
ABSL_FLAG(std::string, customer, "", "customer as named in its contract");
ABSL_FLAG(std::string, service, "", "service as named in the contract");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, log, "", "base URL of the log service, such as http://127.0.0.1:9000");
ABSL_FLAG(std::string, delete, "", "customer to delete");
ABSL_FLAG(std::string, wait, "0", "seconds to wait until the change is in force");
ABSL_FLAG(std::string, fleet, "", "operators' addresses of instances, separated by commas");
ABSL_FLAG(std::string, caller, "", "identifier of the caller; the same one gives the same order of addresses");

namespace jackdawdoor::cli {

namespace {

using Arguments = std::vector<std::string>;

Command serveCommand(const net::CoreFactory &makeCore)
{
    return {"serve",
            "",
            "Runs an instance. On SIGTERM it leaves placement, finishes every request in progress and exits.",
            "0 after a planned stop, 1 when it cannot start or was ended by a second signal, 2 for a faulty settings file",
            {{"settings", "settings file", true}},
            [makeCore](const Arguments &, std::ostream &out, std::ostream &err) {
                return runServe(absl::GetFlag(FLAGS_settings), makeCore, out, err);
            }};
}

Command proxyCommand()
{
    return {"proxy",
            "",
            "Runs an instance on the users' platform. On SIGTERM it leaves placement, finishes every request in progress and exits; on "
            "SIGHUP it reloads the settings.",
            "0 after a planned stop, 1 when it cannot start, 2 for a faulty settings file",
            {{"settings", "the platform's settings file; by default the path that the platform gives"}},
            [](const Arguments &, std::ostream &, std::ostream &err) {
                return runProxy(absl::GetFlag(FLAGS_settings), err);
            }};
}

Command statusCommand()
{
    return {
        "status",
        "",
        "Prints the status of an instance: contracts in force, members, services and upstreams.",
        "0 on success, 1 when the instance refuses the request, 2 for a faulty command line, 3 when the instance does not answer",
        {{"instance", "operators' address of the instance, http://ip:port", true}, {"json", "print JSON in place of tables", false, false}},
        [](const Arguments &, std::ostream &out, std::ostream &err) {
            return runStatus(absl::GetFlag(FLAGS_instance), absl::GetFlag(FLAGS_json), out, err);
        }};
}

Command placeCommand()
{
    return {"place",
            "",
            "Prints the addresses to which a caller of a service should connect, as JSON.",
            "0 on success, 1 when the instance refuses the request, 2 for a faulty command line, 3 when the instance does not answer",
            {{"instance", "callers' address of any instance, http://ip:port", true},
             {"customer", "customer as named in its contract", true},
             {"service", "service as named in the contract", true},
             {"caller", "identifier of the caller", true}},
            [](const Arguments &, std::ostream &out, std::ostream &err) {
                return runPlace(absl::GetFlag(FLAGS_instance),
                                absl::GetFlag(FLAGS_customer),
                                absl::GetFlag(FLAGS_service),
                                absl::GetFlag(FLAGS_caller),
                                out,
                                err);
            }};
}

Command checkCommand()
{
    return {"check",
            "FILE",
            "Checks a contract. Prints each fault with line, key, reason and accepted range.",
            "0 when the contract is accepted, 1 when it has faults, 2 for a faulty command line or an unreadable file",
            {},
            [](const Arguments &arguments, std::ostream &out, std::ostream &err) {
                return runCheck(arguments.front(), out, err);
            }};
}

Command explainCommand()
{
    return {"explain",
            "FILE",
            "Prints each value derived from a contract with its unit, its rule and the contract lines from which it is derived.",
            "0 on success, 1 when the contract has faults, 2 for a faulty command line or an unreadable file",
            {{"json", "print JSON in place of a table", false, false}},
            [](const Arguments &arguments, std::ostream &out, std::ostream &err) {
                return runExplain(arguments.front(), absl::GetFlag(FLAGS_json), out, err);
            }};
}

/** Runs publish with its flags, or prints why their combination is invalid. */
int publish(const Arguments &arguments, std::ostream &out, std::ostream &err)
{
    PublishOptions options;
    options.file = arguments.empty() ? std::string{} : arguments.front();
    options.deleteCustomer = absl::GetFlag(FLAGS_delete);
    options.instanceUrl = absl::GetFlag(FLAGS_instance);
    options.logUrl = absl::GetFlag(FLAGS_log);
    const std::string fleet = absl::GetFlag(FLAGS_fleet);
    for (const std::string_view url : net::splitTrimmed(fleet, ',')) {
        if (!url.empty()) {
            options.fleet.emplace_back(url);
        }
    }
    constexpr std::uint64_t longestWait = 3600;
    const auto wait = net::parseNumber(absl::GetFlag(FLAGS_wait));
    if (!wait || *wait > longestWait) {
        err << "--wait must be a number of seconds from 0 to 3600" << std::endl;
        return Usage;
    }
    options.waitSeconds = static_cast<int>(*wait);
    if (options.file.empty() == options.deleteCustomer.empty()) {
        err << "exactly one of FILE and --delete=CUSTOMER is required" << std::endl;
        return Usage;
    }
    if (options.waitSeconds > 0 && options.fleet.empty()) {
        err << "--wait requires --fleet=URL,URL,..." << std::endl;
        return Usage;
    }
    return runPublish(options, out, err);
}

Command publishCommand()
{
    return {"publish",
            "[FILE]",
            "Publishes a contract to the log, or deletes a customer's contract. Publishing again is safe: of all copies with the same base "
            "version at most one is accepted.",
            "0 accepted (with --wait: and in force on each instance), 1 rejected or a faulty contract, 2 a faulty command line or an "
            "unreadable file, 3 unknown or no answer, 4 another publish came first, 5 accepted but not in force on each instance in time",
            {{"instance", "operators' address of any instance, http://ip:port; source of the version in force", true},
             {"log", "base URL of the log service", true},
             {"delete", "customer to delete, in place of FILE"},
             {"wait", "seconds to wait until the change is in force on each instance of --fleet"},
             {"fleet", "operators' addresses of the instances to wait for, http://ip:port,http://ip:port,..."}},
            publish};
}

std::vector<Command> allCommands(const net::CoreFactory &makeCore)
{
    return {checkCommand(), explainCommand(), publishCommand(), statusCommand(), placeCommand(), proxyCommand(), serveCommand(makeCore)};
}

int runCommand(const Command &command, Arguments arguments, std::ostream &out, std::ostream &err)
{
    if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
        out << helpText(command);
        return Success;
    }
    const std::string flagError = checkFlags(command, arguments);
    if (!flagError.empty()) {
        err << flagError << "\n\n" << helpText(command);
        return Usage;
    }
    std::vector<char *> pointers;
    std::string program = "jackdawdoor";
    pointers.push_back(program.data());
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    const std::vector<char *> left = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    const Arguments positional(left.begin() + 1, left.end());
    const std::string argumentError = checkArguments(command, positional);
    if (!argumentError.empty()) {
        err << argumentError << "\n\n" << helpText(command);
        return Usage;
    }
    return command.run(positional, out, err);
}

} // namespace

int runCommandLine(int argc, char **argv, const net::CoreFactory &makeCore, std::ostream &out, std::ostream &err)
{
    const std::vector<Command> commands = allCommands(makeCore);
    const Arguments arguments(argv + 1, argv + std::max(argc, 1));
    if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "help")) {
        out << helpText(commands);
        return Success;
    }
    const auto found = std::find_if(commands.begin(), commands.end(), [&](const Command &command) {
        return !arguments.empty() && command.name == arguments[0];
    });
    if (found == commands.end()) {
        err << helpText(commands);
        return Usage;
    }
    return runCommand(*found, Arguments(arguments.begin() + 1, arguments.end()), out, err);
}

} // namespace jackdawdoor::cli
