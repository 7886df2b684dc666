/** Record of what callers and upstreams of a soak test observed for each request, and of violated guarantees. */
#pragma once

#include "soak/announcementrules.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jackdawdoor::soak {

/** Who sent a request, and when. */
struct SoakSender {
    InstanceLife life; ///< of the instance to which the caller sent it
    TimePoint sent{};
};

/** Correlates both sides by request id. Thread-safe. */
class SoakLedger
{
public:
    /** Records that a caller is about to send the request. */
    void send(const std::string &id, const SoakSender &sender);

    /** Sender of a request, unless it was not recorded. */
    std::optional<SoakSender> sender(const std::string &id);

    /** Records that an upstream ran the request. `answered`: it sent its complete answer. */
    void run(const std::string &id, bool answered);

    /** Records the answer a caller received. `idempotent`: the request may run more than once. */
    void answer(const std::string &id, bool idempotent, int status);

    /** Records that a caller's connection ended without an answer. `planned`: during a planned stop of its instance. */
    void cut(const std::string &id, bool idempotent, bool planned);

    /** Records a violation that was detected directly. */
    void violate(const std::string &text);

    /** Number of requests, by status. */
    std::string summary();

    /** All violations, including those derived from comparing both sides. Call after the run. */
    std::vector<std::string> violations();

private:
    struct Entry {
        int runs = 0;
        bool answered = false; ///< an upstream sent its complete answer
        bool idempotent = true;
        int status = 0; ///< received by the caller; 0 without an answer
        bool cutByStop = false;
        std::optional<SoakSender> sender = std::nullopt;
    };

    std::mutex m_mutex;
    std::map<std::string, Entry> m_entries;
    std::vector<std::string> m_violations;
};

} // namespace jackdawdoor::soak
