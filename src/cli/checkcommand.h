/** The command `check`: validates a contract file. */
#pragma once

#include "contract/contract.h"

#include <optional>
#include <ostream>
#include <string>

namespace jackdawdoor::cli {

/** Process exit codes of the commands that read a contract file. */
enum ContractExitCode : int {
    ContractAccepted = 0,
    ContractFaulty = 1,
    ContractUnreadable = 2,
};

/** Contents of a contract file, or the exit code when it can't be read or has faults. */
struct ContractFile {
    int exitCode = ContractAccepted;
    std::string text; ///< as read; empty when the file is unreadable
    std::optional<contract::Contract> contract; ///< set if and only if the exit code is ContractAccepted
};

/** Reads and parses a contract file; an unreadable file and each fault are printed to `err`. */
ContractFile readContractFile(const std::string &file, std::ostream &err);

/** Checks the contract in a file. Prints each fault to `err` with its line, key, reason and accepted range.
 *
 * Returns the process's exit code: 0 when the contract is accepted, 1 when it has faults, 2 when the file can't be read.
 */
int runCheck(const std::string &file, std::ostream &out, std::ostream &err);

} // namespace jackdawdoor::cli
