#include "core/refusal.h"

namespace jackdawdoor::core {

std::string stageName(RefusalStage stage)
{
    switch (stage) {
    case RefusalStage::Malformed:
        return "malformed";
    case RefusalStage::NoContract:
        return "no-contract";
    case RefusalStage::NoOperation:
        return "no-operation";
    case RefusalStage::TooLarge:
        return "too-large";
    case RefusalStage::KeyRequired:
        return "key-required";
    case RefusalStage::KeyExpired:
        return "key-expired";
    case RefusalStage::KeyClosed:
        return "key-closed";
    case RefusalStage::KeyTableFull:
        return "key-table-full";
    case RefusalStage::HomeUnreachable:
        return "home-unreachable";
    case RefusalStage::WitnessUnreachable:
        return "witness-unreachable";
    case RefusalStage::CrashSuspect:
        return "crash-suspect";
    case RefusalStage::QueueFull:
        return "queue-full";
    case RefusalStage::DeadlineTooShort:
        return "deadline-too-short";
    case RefusalStage::NoUpstream:
        return "no-upstream";
    case RefusalStage::AttemptsExhausted:
        return "attempts-exhausted";
    case RefusalStage::AnswerLost:
        return "answer-lost";
    case RefusalStage::Stopping:
        return "stopping";
    }
    return "unknown-stage";
}

} // namespace jackdawdoor::core
