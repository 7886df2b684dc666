/** Commands of the program and their help texts. */
#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace jackdawdoor::cli {

/** A flag that a command accepts. */
struct CommandFlag {
    std::string name; ///< without dashes
    std::string help;
    bool required = false;
    bool takesValue = true; ///< false for a switch such as --json

    bool operator==(const CommandFlag &) const = default;
};

struct Command {
    using Run = std::function<int(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)>;

    std::string name;
    std::string arguments; ///< the positional argument as shown in help; none when empty, optional when it starts with "["
    std::string summary;
    std::string exitCodes; ///< what each exit code means for this command
    std::vector<CommandFlag> flags;
    Run run; ///< gets the positional arguments
};

/** Help of one command. */
std::string helpText(const Command &command);

/** Help of the program: one line for each command. */
std::string helpText(const std::vector<Command> &commands);

/** Error message for positional arguments that the command does not accept, or an empty string. */
std::string checkArguments(const Command &command, const std::vector<std::string> &positional);

/** Error message for unknown, repeated or missing flags, or an empty string. */
std::string checkFlags(const Command &command, const std::vector<std::string> &arguments);

} // namespace jackdawdoor::cli
