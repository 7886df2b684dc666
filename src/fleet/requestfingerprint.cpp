#include "fleet/requestfingerprint.h"

#include "base/blockhash.h"
#include "base/stablehash.h"

namespace jackdawdoor::fleet {

std::vector<std::uint64_t> RequestFingerprint::identities() const
{
    return exact == path ? std::vector{path} : std::vector{path, exact};
}

RequestFingerprint fingerprintOf(std::string_view host,
                                 std::string_view method,
                                 std::string_view target,
                                 const std::vector<std::string_view> &bodyBlocks,
                                 std::string_view organisation)
{
    // Without an organisation the fingerprint is that of earlier versions.
    const std::uint64_t caller = organisation.empty() ? 0 : stableHash(organisation);
    const std::uint64_t rest = stableHashOfBlocks(bodyBlocks, stableHash(method, stableHash(host, caller)));
    return {stableHash(target, rest), stableHash(target.substr(0, target.find('?')), rest)};
}

RequestFingerprint
fingerprintOf(std::string_view host, std::string_view method, std::string_view target, std::string_view body, std::string_view organisation)
{
    return fingerprintOf(host, method, target, std::vector<std::string_view>{body}, organisation);
}

} // namespace jackdawdoor::fleet
