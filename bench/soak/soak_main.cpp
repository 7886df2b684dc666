/** Soak test: runs real proxy processes on loopback, injects faults and checks what callers and upstreams observe.
 *
 * Faults overlap: processes are killed, alone or all at once, paused, stopped as planned and told to reload their settings; the
 * store fails in several ways, comes back from older copies and holds entries of other programs; upstreams fail, hang, send truncated or
 * extra answers, drain, and announce that they leave, rest or limit their rate; the configuration changes. The seed determines the
 * schedule, but not the timing of the processes. Terminates only processes that it started.
 */
#include "soak/soakfleet.h"
#include "soak/soakledger.h"
#include "soak/soakworkload.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the fault schedule");
ABSL_FLAG(double, minutes, 0.25, "duration of fault injection in minutes");
ABSL_FLAG(int, processes, 4, "number of proxy instances");
ABSL_FLAG(std::string, binary, "build/jackdawdoor", "path of the jackdawdoor program");

int main(int argc, char **argv)
{
    using namespace jackdawdoor;
    absl::ParseCommandLine(argc, argv);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    soak::SoakLedger ledger;
    soak::SoakFleet fleet(absl::GetFlag(FLAGS_binary), absl::GetFlag(FLAGS_processes), ledger, seed);
    if (!fleet.waitUntilReady()) {
        std::cerr << "the instances did not become ready within 10 s" << std::endl;
        return 1;
    }
    {
        soak::SoakWorkload workload(fleet, ledger, seed);
        fleet.runFaults(fromSeconds(absl::GetFlag(FLAGS_minutes) * 60));
        fleet.endFaults();
    }
    const soak::RecoveryCount recovery = soak::countRecovery(fleet, ledger);
    std::cout << "seed " << seed << ": " << ledger.summary() << ", after the faults " << recovery.answered << " of " << recovery.asked
              << " answered" << std::endl;
    // The specification requires a quarter of the requests; with all faults cleared, an instance serves nearly all.
    if (recovery.answered * 4 < recovery.asked * 3) {
        ledger.violate("RECOVER: fewer than three quarters of the requests were answered after the faults");
    }
    const auto violations = ledger.violations();
    for (const std::string &violation : violations) {
        std::cout << "  " << violation << std::endl;
    }
    return violations.empty() ? 0 : 1;
}
