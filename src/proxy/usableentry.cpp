#include "proxy/usableentry.h"

#include "settings/settings.h"

namespace jackdawdoor::proxy {

bool isUsableEntry(const fleet::UpstreamEntry &entry)
{
    const bool named = !entry.id.empty() && !entry.service.empty();
    return named && entry.slots >= 1 && settings::parseEndpoint(entry.address).has_value();
}

} // namespace jackdawdoor::proxy
