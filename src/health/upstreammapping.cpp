#include "health/upstreammapping.h"

#include <absl/container/flat_hash_map.h>

namespace jackdawdoor::health {

UpstreamMapping mapUpstreams(const contract::ServicePolicy &former, const contract::ServicePolicy &present)
{
    absl::flat_hash_map<UpstreamId, std::size_t> index;
    for (std::size_t position = 0; position < former.upstreams.size(); ++position) {
        index.emplace(former.upstreams[position].id, position);
    }
    UpstreamMapping mapping;
    mapping.reserve(present.upstreams.size());
    for (const contract::UpstreamPolicy &upstream : present.upstreams) {
        const auto found = index.find(upstream.id);
        mapping.push_back(found == index.end() ? std::nullopt : std::optional{found->second});
    }
    return mapping;
}

} // namespace jackdawdoor::health
