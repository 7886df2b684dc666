/** Where each upstream of a new policy stood in the former one.
 *
 * Evidence is kept in vectors by upstream index. When a contract changes, it is carried over to the upstreams that
 * remain, so that a publish does not bring an ejected upstream back.
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

/** Moves the values to their new places; upstreams that are new get a copy of `fresh`. */
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
