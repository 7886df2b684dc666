#include "cli/checkcommand.h"

#include "base/error.h"
#include "contract/parsecontract.h"

#include <cstddef>
#include <fstream>

namespace jackdawdoor::cli {

namespace {

Result<std::string> readText(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return Error{"read contract", file, "the file can't be opened"};
    }
    // One byte more than the limit is enough for the parser to reject a file that is too long.
    std::string text(contract::maximumContractBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad()) {
        return Error{"read contract", file, "the file can't be read"};
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

void printFault(const std::string &file, const contract::Fault &fault, std::ostream &err)
{
    err << file << ":" << fault.line << ": " << (fault.keyPath.empty() ? "contract" : fault.keyPath) << ": " << fault.reason << "\n"
        << "    accepted: " << fault.acceptedRange << "\n";
}

} // namespace

ContractFile readContractFile(const std::string &file, std::ostream &err)
{
    const auto text = readText(file);
    if (!text) {
        err << text.error() << "\n";
        return {ContractUnreadable, {}, std::nullopt};
    }
    contract::ParseResult result = contract::parseContract(text.value());
    for (const contract::Fault &fault : result.faults) {
        printFault(file, fault, err);
    }
    return {result.accepted() ? ContractAccepted : ContractFaulty, text.value(), std::move(result.contract)};
}

int runCheck(const std::string &file, std::ostream &out, std::ostream &err)
{
    const ContractFile read = readContractFile(file, err);
    if (read.contract) {
        out << file << ": the contract of " << read.contract->customer << " is accepted (" << read.contract->services.size()
            << " services)\n";
    }
    return read.exitCode;
}

} // namespace jackdawdoor::cli
