#include "contract/policy.h"

#include <algorithm>

namespace jackdawdoor::contract {

const ServicePolicy *CustomerPolicy::findService(const ServiceId &id) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&id](const ServicePolicy &service) {
        return service.id == id;
    });
    return found == services.end() ? nullptr : &*found;
}

} // namespace jackdawdoor::contract
