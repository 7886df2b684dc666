#include "cli/command.h"

#include <algorithm>
#include <sstream>

namespace jackdawdoor::cli {

namespace {

/** Name of the flag in "--name" or "--name=value", or an empty string. */
std::string flagName(const std::string &argument)
{
    if (!argument.starts_with("--")) {
        return {};
    }
    return argument.substr(2, argument.find('=') - 2);
}

} // namespace

std::string helpText(const Command &command)
{
    std::ostringstream text;
    text << "Usage: jackdawdoor " << command.name;
    for (const CommandFlag &flag : command.flags) {
        text << (flag.required ? " --" : " [--") << flag.name << (flag.takesValue ? "=VALUE" : "") << (flag.required ? "" : "]");
    }
    text << (command.arguments.empty() ? "" : " ") << command.arguments << "\n\n" << command.summary << "\n";
    for (const CommandFlag &flag : command.flags) {
        text << "\n  --" << flag.name << "  " << flag.help;
    }
    text << "\n\nExit codes: " << command.exitCodes << "\n";
    return text.str();
}

std::string helpText(const std::vector<Command> &commands)
{
    std::ostringstream text;
    text << "Usage: jackdawdoor COMMAND [--flag=VALUE...]\n\n";
    for (const Command &command : commands) {
        text << "  " << command.name << "  " << command.summary << "\n";
    }
    text << "\n`jackdawdoor COMMAND --help` shows the flags and exit codes of a command.\n";
    return text.str();
}

std::string checkArguments(const Command &command, const std::vector<std::string> &positional)
{
    const std::size_t most = command.arguments.empty() ? 0 : 1;
    const std::size_t least = command.arguments.empty() || command.arguments.starts_with('[') ? 0 : 1;
    if (positional.size() < least) {
        return "the argument " + command.arguments + " is missing";
    }
    return positional.size() > most ? "the argument " + positional[most] + " is unexpected" : std::string{};
}

std::string checkFlags(const Command &command, const std::vector<std::string> &arguments)
{
    std::vector<std::string> given;
    for (const std::string &argument : arguments) {
        const std::string name = flagName(argument);
        if (name.empty()) {
            continue;
        }
        const bool known = std::any_of(command.flags.begin(), command.flags.end(), [&](const CommandFlag &flag) {
            return flag.name == name;
        });
        if (!known) {
            return "unknown flag --" + name;
        }
        if (std::find(given.begin(), given.end(), name) != given.end()) {
            return "flag --" + name + " is given twice";
        }
        given.push_back(name);
    }
    for (const CommandFlag &flag : command.flags) {
        if (flag.required && std::find(given.begin(), given.end(), flag.name) == given.end()) {
            return "flag --" + flag.name + " is missing";
        }
    }
    return {};
}

} // namespace jackdawdoor::cli
