#include "contract/operationreader.h"

#include "contract/schemalimits.h"
#include "contract/uniquenames.h"
#include "contract/valuerules.h"
#include "contract/wronganswerreader.h"

namespace jackdawdoor::contract {

namespace {

void readIdempotency(ObjectReader &reader, Operation &operation)
{
    const auto idempotent = reader.required("idempotent", booleanRule());
    operation.idempotent = idempotent.value_or(false);
    operation.keyRequired = reader.optional("keyRequired", booleanRule(), !operation.idempotent).value_or(false);
    if (idempotent.value_or(false) && operation.keyRequired) {
        reader.contradiction("keyRequired", "an idempotent operation needs no keys", "false, or leave the key out");
    }
}

Operation readOperation(ObjectReader &reader, FaultList &faults, SourceLines &lines)
{
    Operation operation;
    operation.name = reader.required("name", nameRule()).value_or("");
    operation.method = reader.required("method", methodRule()).value_or("");
    operation.pathPrefix = reader.required("pathPrefix", pathPrefixRule()).value_or("");
    readIdempotency(reader, operation);
    operation.usefulWithin = reader.required("usefulWithin", durationRule(minimumUsefulWithin, maximumUsefulWithin)).value_or(Duration{});
    operation.largestRequest = reader.required("largestRequest", sizeRule(0, maximumRequestBytes)).value_or(0);
    const auto largestAnswer = reader.required("largestAnswer", sizeRule(1, maximumAnswerBytes));
    operation.largestAnswer = largestAnswer.value_or(0);
    operation.wrongAnswer = readWrongAnswer(reader, largestAnswer.value_or(maximumAnswerBytes), faults, lines);
    reader.finish();
    return operation;
}

// "/orders" and "/orders/" match the same requests.
std::string matchedRequests(const Operation &operation)
{
    std::string prefix = operation.pathPrefix;
    if (prefix.size() > 1 && prefix.back() == '/') {
        prefix.pop_back();
    }
    return operation.method + " " + prefix;
}

} // namespace

std::vector<Operation> readOperations(ObjectReader &service, FaultList &faults, SourceLines &lines)
{
    std::vector<Operation> operations;
    const auto *nodes = service.requiredList("operations", maximumOperations);
    if (nodes == nullptr) {
        return operations;
    }
    UniqueNames names("a name that no other operation of the service has");
    UniqueNames requests("a method and path prefix that no other operation of the service has");
    for (const DocumentNode &node : *nodes) {
        ObjectReader reader(node, joinIndex(joinKey(service.path(), "operations"), operations.size()), faults, &lines);
        Operation operation = readOperation(reader, faults, lines);
        if (!operation.name.empty()) {
            names.add(operation.name, joinKey(reader.path(), "name"), reader.find("name")->line, faults);
        }
        if (!operation.method.empty() && !operation.pathPrefix.empty()) {
            requests.add(matchedRequests(operation), joinKey(reader.path(), "pathPrefix"), reader.find("pathPrefix")->line, faults);
        }
        operations.push_back(std::move(operation));
    }
    return operations;
}

} // namespace jackdawdoor::contract
