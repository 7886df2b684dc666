/** Mapping from the upstream indices of a new policy to those of the former one.
 *
 * Evidence is kept in vectors by upstream index. When a contract changes, it is kept for the upstreams that
 * remain, so that a publish does not return an ejected upstream to service.
 */
#pragma once

#include "contract/policy.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace jackdawdoor::health {

/** Former index of each upstream of the new policy; nothing for a new one. */
using UpstreamMapping = std::vector<std::optional<std::size_t>>;

/** Mapping between two versions of a service. */
UpstreamMapping mapUpstreams(const contract::ServicePolicy &former, const contract::ServicePolicy &present);

namespace detail {

/** Moves the values to their new indices; new upstreams get a copy of `fresh`. */
template <typename Value>
void rearrange(std::vector<Value> &values, const UpstreamMapping &mapping, const Value &fresh)
{
    std::vector<Value> arranged;
    arranged.reserve(mapping.size());
    for (const std::optional<std::size_t> &former : mapping) {
        arranged.push_back(former ? std::move(values[*former]) : fresh);
    }
    values = std::move(arranged);
}

} // namespace detail

} // namespace jackdawdoor::health
