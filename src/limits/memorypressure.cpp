#include "limits/memorypressure.h"

#include <algorithm>

namespace jackdawdoor::limits {

namespace {

/** Adds steps for the holders that qualify, in their order, until enough bytes are free. Returns the bytes freed so far. */
template <typename Qualifies>
std::size_t endWhile(std::vector<MemoryReliefStep> &steps,
                     const std::vector<MemoryHolder> &holders,
                     MemoryRelief relief,
                     std::size_t freed,
                     std::size_t wanted,
                     const Qualifies &qualifies)
{
    for (const MemoryHolder &holder : holders) {
        if (freed >= wanted) {
            break;
        }
        const std::size_t bytes = relief == MemoryRelief::DropInput ? holder.inputBytes : holder.bytes;
        if (bytes > 0 && qualifies(holder)) {
            steps.push_back({holder.id, relief});
            freed += bytes;
        }
    }
    return freed;
}

} // namespace

const char *memoryReliefName(MemoryRelief relief)
{
    switch (relief) {
    case MemoryRelief::CloseStopped:
        return "body-stopped";
    case MemoryRelief::DropInput:
        return "input-dropped";
    case MemoryRelief::Refuse:
        return "no-memory";
    case MemoryRelief::AbortUnread:
        return "answer-not-read";
    case MemoryRelief::AbortRunning:
        return "overdraft";
    }
    return "";
}

std::vector<MemoryReliefStep> relieveMemory(TimePoint now, const MemoryNeed &need, std::vector<MemoryHolder> holders)
{
    std::vector<MemoryReliefStep> steps;
    const std::size_t wanted = need.wanted + need.overdraft;
    std::sort(holders.begin(), holders.end(), [](const MemoryHolder &left, const MemoryHolder &right) {
        return left.progressed < right.progressed;
    });
    const auto stopped = [now](const MemoryHolder &holder, MemoryPhase phase) {
        return holder.phase == phase && !holder.waitingSince && now - holder.progressed >= memoryStallGrace;
    };
    std::size_t freed = endWhile(steps, holders, MemoryRelief::CloseStopped, 0, wanted, [&](const MemoryHolder &holder) {
        return stopped(holder, MemoryPhase::Receiving);
    });
    freed = endWhile(steps, holders, MemoryRelief::AbortUnread, freed, wanted, [&](const MemoryHolder &holder) {
        return stopped(holder, MemoryPhase::Answering);
    });
    std::stable_sort(holders.begin(), holders.end(), [](const MemoryHolder &left, const MemoryHolder &right) {
        return left.inputBytes > right.inputBytes;
    });
    freed = endWhile(steps, holders, MemoryRelief::DropInput, freed, need.overdraft, [&steps](const MemoryHolder &holder) {
        return holder.phase != MemoryPhase::Receiving && std::none_of(steps.begin(), steps.end(), [&holder](const auto &step) {
                   return step.id == holder.id;
               });
    });
    if (freed >= wanted) {
        return steps;
    }
    std::sort(holders.begin(), holders.end(), [](const MemoryHolder &left, const MemoryHolder &right) {
        return left.began > right.began;
    });
    const auto refused = std::find_if(holders.begin(), holders.end(), [now](const MemoryHolder &holder) {
        return holder.waitingSince && now - *holder.waitingSince >= maximumMemoryWait;
    });
    if (refused != holders.end()) {
        steps.push_back({refused->id, MemoryRelief::Refuse});
        freed += refused->bytes;
    }
    // Requests that are being received are refused before those that run are ended.
    freed = endWhile(steps, holders, MemoryRelief::Refuse, freed, need.overdraft, [&](const MemoryHolder &holder) {
        return holder.phase == MemoryPhase::Receiving && (refused == holders.end() || holder.id != refused->id)
               && !stopped(holder, MemoryPhase::Receiving);
    });
    endWhile(steps, holders, MemoryRelief::AbortRunning, freed, need.overdraft, [](const MemoryHolder &holder) {
        return holder.phase == MemoryPhase::Running;
    });
    return steps;
}

} // namespace jackdawdoor::limits
