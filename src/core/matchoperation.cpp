#include "core/matchoperation.h"

namespace jackdawdoor::core {

namespace {

bool matchesPrefix(std::string_view path, std::string_view prefix)
{
    if (path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

const contract::OperationPolicy *matchOperation(const contract::ServicePolicy &service, std::string_view method, std::string_view path)
{
    const contract::OperationPolicy *best = nullptr;
    for (const contract::OperationPolicy &operation : service.operations) {
        const bool matches = operation.method == method && matchesPrefix(path, operation.pathPrefix);
        if (matches && (best == nullptr || operation.pathPrefix.size() > best->pathPrefix.size())) {
            best = &operation;
        }
    }
    return best;
}

} // namespace jackdawdoor::core
