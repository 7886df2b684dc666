#include "core/contractcompiler.h"

#include "contract/contract.h"
#include "contract/parsecontract.h"

namespace jackdawdoor::core {

Result<contract::CustomerPolicy> compileContract(const std::string &body)
{
    const contract::ParseResult parsed = contract::parseContract(body);
    if (!parsed.accepted()) {
        const contract::Fault &first = parsed.faults.front();
        return Error{"compile contract", "line " + std::to_string(first.line) + ", " + first.keyPath, first.reason};
    }
    return contract::derivePolicy(*parsed.contract);
}

} // namespace jackdawdoor::core
