#include "limits/callershare.h"

#include <algorithm>

namespace jackdawdoor::limits {

namespace {

/** Descriptors that the platform reserves for files. */
constexpr std::size_t fileReserve = 200;
constexpr double callersShare = 0.34;
constexpr double idleUpstreamsShare = 0.1;
constexpr double directoryShare = 0.1;
constexpr double callsShare = 0.03;
/** A process with too few descriptors still serves some callers. */
constexpr std::size_t minimumCallers = 16;
constexpr std::size_t minimumIdleUpstreams = 8;
constexpr std::size_t minimumCalls = 8;
/** A request that is sent without a pause is not taken for one that stands still. */
constexpr Duration stallGrace = std::chrono::seconds{1};

std::size_t shareOf(std::size_t descriptors, double share)
{
    return static_cast<std::size_t>(static_cast<double>(descriptors) * share);
}

} // namespace

DescriptorShares descriptorSharesFor(std::size_t descriptors)
{
    if (descriptors == 0) {
        return {};
    }
    const std::size_t sockets = descriptors > fileReserve ? descriptors - fileReserve : 0;
    return {std::max(minimumCallers, shareOf(sockets, callersShare)),
            std::max(minimumIdleUpstreams, shareOf(sockets, idleUpstreamsShare)),
            std::max(minimumCalls, shareOf(sockets, directoryShare)),
            std::max(minimumCalls, shareOf(sockets, callsShare))};
}

std::optional<std::uint64_t> connectionToClose(TimePoint now, const std::vector<ConnectionState> &connections)
{
    const auto longest = [&connections](ConnectionState::Phase phase) {
        const ConnectionState *found = nullptr;
        for (const ConnectionState &connection : connections) {
            if (connection.phase == phase && (found == nullptr || connection.since < found->since)) {
                found = &connection;
            }
        }
        return found;
    };
    for (const auto phase : {ConnectionState::Phase::Closing, ConnectionState::Phase::Idle}) {
        if (const ConnectionState *closed = longest(phase)) {
            return closed->id;
        }
    }
    const ConnectionState *stalled = longest(ConnectionState::Phase::Receiving);
    return stalled != nullptr && now - stalled->since >= stallGrace ? std::optional(stalled->id) : std::nullopt;
}

} // namespace jackdawdoor::limits
