/** Builder of Operation, for code that makes contracts without parsing text. */
#pragma once

#include "contract/operation.h"

#include <utility>

namespace jackdawdoor::contract {

/** Builds an Operation. Does not validate: untrusted input must go through parseContract(). */
class OperationBuilder
{
public:
    /** The operation is not idempotent and requires keys unless changed below. */
    OperationBuilder(std::string name, std::string method, std::string pathPrefix)
    {
        m_operation.name = std::move(name);
        m_operation.method = std::move(method);
        m_operation.pathPrefix = std::move(pathPrefix);
    }

    /** Marks the operation as idempotent; keys are then not required. */
    OperationBuilder &idempotent()
    {
        m_operation.idempotent = true;
        m_operation.keyRequired = false;
        return *this;
    }

    /** Whether a non-idempotent request without a key is refused. */
    OperationBuilder &keyRequired(bool required)
    {
        m_operation.keyRequired = required;
        return *this;
    }

    /** Time after which the first byte of the answer is of no use. */
    OperationBuilder &usefulWithin(Duration time)
    {
        m_operation.usefulWithin = time;
        return *this;
    }

    /** Largest bodies in bytes. */
    OperationBuilder &largestBodies(std::uint64_t request, std::uint64_t answer)
    {
        m_operation.largestRequest = request;
        m_operation.largestAnswer = answer;
        return *this;
    }

    /** What makes an answer wrong. */
    OperationBuilder &wrongAnswer(WrongAnswerRule rule)
    {
        m_operation.wrongAnswer = std::move(rule);
        return *this;
    }

    Operation build() const
    {
        return m_operation;
    }

private:
    Operation m_operation;
};

} // namespace jackdawdoor::contract
