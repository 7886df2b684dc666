#include "cli/commandline.h"

#include "cli/clientcommands.h"
#include "cli/command.h"
#include "cli/servecommand.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <string>
#include <vector>

ABSL_FLAG(std::string, settings, "", "settings file of the instance");
ABSL_FLAG(std::string, instance, "", "address of a running instance, such as http://127.0.0.1:8080");
ABSL_FLAG(std::string, customer, "", "customer as named in its contract");
ABSL_FLAG(std::string, service, "", "service as named in the contract");
ABSL_FLAG(std::string, caller, "", "identifier of the caller; the same one gives the same order of addresses");

namespace jackdawdoor::cli {

namespace {

using Arguments = std::vector<std::string>;

Command serveCommand(const net::CoreFactory &makeCore)
{
    return {"serve",
            "",
            "Runs an instance. SIGTERM leaves placement, finishes every request in progress and exits.",
            "0 after a planned stop, 1 when it cannot start or was ended by a second signal, 2 for a faulty settings file",
            {{"settings", "settings file", true}},
            [makeCore](const Arguments &, std::ostream &out, std::ostream &err) {
                return runServe(absl::GetFlag(FLAGS_settings), makeCore, out, err);
            }};
}

Command statusCommand()
{
    return {"status",
            "",
            "Prints the status of an instance as JSON.",
            "0, 1 when the instance refuses, 2 for a faulty command line, 3 without an answer",
            {{"instance", "operators' address of the instance, http://ip:port", true}},
            [](const Arguments &, std::ostream &out, std::ostream &err) {
                return runStatus(absl::GetFlag(FLAGS_instance), out, err);
            }};
}

Command placeCommand()
{
    return {"place",
            "",
            "Prints where a caller of a service should connect, as JSON.",
            "0, 1 when the instance refuses, 2 for a faulty command line, 3 without an answer",
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

/** All commands. Those that read contracts and publish them are added here. */
std::vector<Command> allCommands(const net::CoreFactory &makeCore)
{
    return {serveCommand(makeCore), statusCommand(), placeCommand()};
}

int runCommand(const Command &command, Arguments arguments, std::ostream &out, std::ostream &err)
{
    if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
        out << helpText(command);
        return Success;
    }
    const std::string fault = flagFault(command, arguments);
    if (!fault.empty()) {
        err << fault << "\n\n" << helpText(command);
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
    if (positional.empty() != command.arguments.empty()) {
        err << (positional.empty() ? "an argument is missing" : "an argument is not expected") << "\n\n" << helpText(command);
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
