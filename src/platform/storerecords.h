/** Decoders for the records of the store's topics.
 *
 * A record that cannot be decoded may belong to another program: it is skipped and takes nothing away.
 */
#pragma once

#include "membership/instancelist.h"
#include "platform/storeformat.h"
#include "proxy/storeaccess.h"

#include <vector>

namespace jackdawdoor::platform {

/** Decodes upstreams' entries and removals, in log order. complete: the records are all that there are. */
proxy::UpstreamUpdate decodeUpstreams(const std::vector<KeyedRecord> &records, const fleet::StorePosition &next, bool complete);

/** Collects the versions of the operator's configuration, in log order. */
proxy::ConfigurationUpdate collectConfigurations(const std::vector<KeyedRecord> &records, const fleet::StorePosition &next, bool complete);

/** Decodes the newest record of each instance. */
membership::InstanceList decodeInstances(const std::vector<KeyedRecord> &records);

} // namespace jackdawdoor::platform
