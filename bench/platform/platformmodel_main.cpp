/** jackdawdoor-platform-model: measures how well the users' services are served in the model, over many seeds. */
#include "platform/servicemodel.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <vector>

ABSL_FLAG(int, seeds, 40, "number of seeds for each row, starting at 1");
ABSL_FLAG(int, seconds, 32, "virtual seconds simulated for each seed");

namespace {

using namespace jackdawdoor;
using namespace jackdawdoor::platformmodel;
using routing::Repeatability;

std::vector<ServiceLoad> loads()
{
    const ServiceLoad orders{"orders, calm", Repeatability::AtMostOnce, 21, 6, 55, 0.46, 12, 3, 9, 0.3, 0.9, 0.012, 2, 0, {}};
    ServiceLoad busyOrders = orders;
    busyOrders.name = "orders, high load";
    busyOrders.perSecond = 115;
    ServiceLoad fewOrders = orders;
    fewOrders.name = "orders, few upstreams";
    fewOrders.upstreams = 14;
    fewOrders.perSecond = 105;
    ServiceLoad killedOrders = orders;
    killedOrders.name = "orders, instances end";
    killedOrders.perSecond = 84;
    killedOrders.killEvery = std::chrono::seconds{8};
    ServiceLoad lookups{"lookups, calm", Repeatability::Idempotent, 10, 6, 20, 0.6, 12, 3, 9, 0.3, 0.9, 0.012, 2, 0, {}};
    ServiceLoad busyLookups = lookups;
    busyLookups.name = "lookups, high load";
    busyLookups.perSecond = 42;
    const ServiceLoad downloads{"downloads, calm", Repeatability::Idempotent, 6, 6, 8, 0.38, 12, 3, 9, 0.3, 0.9, 0.012, 2, 0, {}};
    const ServiceLoad shortWork{
        "short work, two slots", Repeatability::AtMostOnce, 29, 2, 152, 0.094, 12, 2, 9, 0.1, 0.9, 0.05, 0.4, 0.03, {}};
    ServiceLoad busyShortWork = shortWork;
    busyShortWork.name = "short work, high load";
    busyShortWork.perSecond = 300;
    ServiceLoad longWork{"long work, four slots", Repeatability::AtMostOnce, 81, 4, 328, 0.32, 12, 2, 9, 0.1, 0.9, 0.05, 1.2, 0.03, {}};
    ServiceLoad disruptedOrders = orders;
    disruptedOrders.name = "orders, 8 of 21 undisturbed";
    disruptedOrders.countedShare = 8.0 / 21;
    ServiceLoad disruptedWork{
        "short work, 9 of 120 undisturbed", Repeatability::AtMostOnce, 120, 2, 427, 0.2, 12, 2, 9, 0.3, 0.9, 0.1, 0.8, 0.03, {}, 9.0 / 120};
    return {orders,
            busyOrders,
            fewOrders,
            killedOrders,
            lookups,
            busyLookups,
            downloads,
            shortWork,
            busyShortWork,
            longWork,
            disruptedOrders,
            disruptedWork};
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Simulates services on the users' platform with the product's upstream selection.");
    absl::ParseCommandLine(argc, argv);
    std::printf("| service | served | late | failed | refused | retries | coverage (failed) | narrow windows | broken floors |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    for (const ServiceLoad &load : loads()) {
        ServiceFigures total;
        for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
            total.add(runService(load, std::chrono::seconds{absl::GetFlag(FLAGS_seconds)}, static_cast<std::uint64_t>(seed)));
        }
        const double requests = total.served + total.failed + total.refused;
        std::printf("| %s | %.4f | %.4f | %.4f | %.4f | %.3f | %.3f (%.2f) | %.3f | %d of %d |\n",
                    load.name.c_str(),
                    total.served / requests,
                    total.late / requests,
                    total.failed / requests,
                    total.refused / requests,
                    total.retries / requests,
                    total.coverage / requests,
                    total.coverage > 0 ? static_cast<double>(total.coverageFailed) / total.coverage : 0.0,
                    static_cast<double>(total.narrowWindows) / total.windows,
                    total.floorViolations,
                    total.windows);
    }
    return 0;
}
