#include "proxy/usableentry.h"

#include "net/httpmessage.h"
#include "settings/settings.h"

namespace jackdawdoor::proxy {

bool isUsableEntry(const fleet::UpstreamEntry &entry)
{
    // Requests name the upstream in a header.
    const bool named = net::isHeaderValue(entry.id.value) && !entry.service.empty();
    return named && entry.slots >= 1 && settings::parseEndpoint(entry.address).has_value();
}

} // namespace jackdawdoor::proxy
