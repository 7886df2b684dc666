/** Interface to the platform's store, independent of its names and formats.
 *
 * The platform adapter supplies the hooks. Each call invokes its continuation exactly once, on the loop, unless the store
 * client is destroyed first.
 */
#pragma once

#include "base/error.h"
#include "fleet/storehistory.h"
#include "fleet/upstreamentry.h"
#include "membership/instancelist.h"
#include "routing/routetable.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawdoor::proxy {

/** Versions of the configuration that were written since the position. */
struct ConfigurationUpdate {
    std::vector<std::string> texts; ///< as the operator wrote them, in log order; inputs of decodeConfiguration
    fleet::StorePosition next;
    bool complete = false; ///< the newest of all, not only of those since the position
};

/** Update or removal of an upstream. */
struct UpstreamChange {
    UpstreamId id;
    bool removed = false;
    fleet::UpstreamEntry entry; ///< unless removed; with the position of the record
    std::optional<fleet::StorePosition> position = std::nullopt; ///< of the record
};

/** Changes of upstreams in log order. complete: they are the full state; it holds all records before next, and may hold later
 * ones. */
struct UpstreamUpdate {
    std::vector<UpstreamChange> changes;
    fleet::StorePosition next;
    bool complete = false;
    int unreadable = 0; ///< number of entries that could not be decoded
};

/** Calls to the platform's store. The offset zero requests the full state. A store that no longer has the offset gives the full
 * state, too. The caller checks with fleet::continues() whether the answer belongs to the history of its position. */
struct StoreAccess {
    template <typename Value>
    using Continuation = std::function<void(const Result<Value> &)>;

    std::function<void(const fleet::StorePosition &from, Duration wait, Continuation<ConfigurationUpdate>)> readConfiguration;
    std::function<void(const fleet::StorePosition &from, Continuation<UpstreamUpdate>)> readUpstreams;
    std::function<void(const membership::ListedInstance &self, Continuation<bool>)> registerInstance;
    std::function<void(Continuation<membership::InstanceList>)> listInstances;
    std::function<Result<routing::RouteTablePointer>(std::string_view text)> decodeConfiguration;
};

} // namespace jackdawdoor::proxy
