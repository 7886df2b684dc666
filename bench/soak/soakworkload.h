/** Callers of a soak test. They reuse open connections until the instance closes them. */
#pragma once

#include "base/random.h"
#include "soak/soakfleet.h"
#include "soak/soakledger.h"
#include "standins/rawclient.h"

#include <atomic>
#include <thread>
#include <vector>

namespace jackdawdoor::soak {

/** Runs callers on their own threads from construction to destruction. */
class SoakWorkload
{
public:
    SoakWorkload(SoakFleet &fleet, SoakLedger &ledger, std::uint64_t seed);
    ~SoakWorkload();
    SoakWorkload(const SoakWorkload &) = delete;
    SoakWorkload &operator=(const SoakWorkload &) = delete;

private:
    /** A request that was sent on an open connection. */
    struct Sent {
        std::string path;
        std::string id;
        InstanceLife life;
        bool stoppingBefore = false; ///< its instance was stopping already
    };

    void callInstance(std::size_t instance, RandomSource random, const std::string &name);
    void readSlowly(std::size_t instance, RandomSource random, const std::string &name);
    Sent send(const standins::RawClient &client, std::size_t instance, const std::string &path, const std::string &id);
    bool receive(standins::RawClient &client, std::size_t instance, const Sent &sent);
    void noteLeaving(const InstanceLife &life, const std::string &answer);
    void watchVersions(std::size_t instance);

    SoakFleet &m_fleet;
    SoakLedger &m_ledger;
    std::atomic<bool> m_ending{false};
    std::vector<std::thread> m_threads;
};

/** Requests sent after the faults have ended. */
struct RecoveryCount {
    int asked = 0;
    int answered = 0;
};

/** Sends a fixed number of reads to each instance and counts those answered with 200. */
RecoveryCount countRecovery(const SoakFleet &fleet, SoakLedger &ledger);

} // namespace jackdawdoor::soak
