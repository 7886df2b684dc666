/** What the product asks of the platform's store, without its names and formats.
 *
 * The adapter to the platform fills these hooks in. Each call ends with exactly one call of its continuation, on the
 * loop, unless the store client is destroyed before.
 */
#pragma once

#include "base/error.h"
#include "fleet/upstreamentry.h"
#include "membership/instancelist.h"
#include "routing/routetable.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::proxy {

/** Position in one of the store's logs. */
using StoreOffset = std::uint64_t;

/** Newest configuration; text is empty when nothing was written since the position. */
struct ConfigurationUpdate {
    std::string text; ///< as the operator wrote it; decodeConfiguration reads it
    StoreOffset next = 0;
};

/** A report of an upstream, or its removal. */
struct UpstreamChange {
    UpstreamId id;
    bool removed = false;
    fleet::UpstreamEntry entry; ///< unless removed
};

/** Changes in their order; complete: they are all that there is and replace everything known before. */
struct UpstreamUpdate {
    std::vector<UpstreamChange> changes;
    StoreOffset next = 0;
    bool complete = false;
    int unreadable = 0; ///< entries that name no upstream
};

/** Hooks into the platform's store. A position of zero asks for everything. */
struct StoreAccess {
    template <typename Value>
    using Continuation = std::function<void(const Result<Value> &)>;

    std::function<void(StoreOffset from, Duration wait, Continuation<ConfigurationUpdate>)> readConfiguration;
    std::function<void(StoreOffset from, Continuation<UpstreamUpdate>)> readUpstreams;
    std::function<void(const membership::ListedInstance &self, Continuation<bool>)> registerInstance;
    std::function<void(Continuation<membership::InstanceList>)> listInstances;
    std::function<Result<routing::RouteTablePointer>(std::string_view text)> decodeConfiguration;
};

} // namespace jackdawdoor::proxy
