#include "limits/fairshare.h"

#include <algorithm>

namespace jackdawdoor::limits {

std::vector<int> maxMinShares(int slots, const std::vector<int> &wanted, std::size_t rotation)
{
    std::vector<int> shares(wanted.size(), 0);
    int left = std::max(slots, 0);
    while (left > 0) {
        std::vector<std::size_t> unsatisfied;
        int smallestGap = left;
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            if (shares[index] < wanted[index]) {
                unsatisfied.push_back(index);
                smallestGap = std::min(smallestGap, wanted[index] - shares[index]);
            }
        }
        if (unsatisfied.empty()) {
            break;
        }
        const int count = static_cast<int>(unsatisfied.size());
        const int each = std::min(left / count, smallestGap);
        if (each == 0) {
            for (int turn = 0; turn < left; ++turn) {
                ++shares[unsatisfied[(rotation + static_cast<std::size_t>(turn)) % unsatisfied.size()]];
            }
            break;
        }
        for (const auto index : unsatisfied) {
            shares[index] += each;
        }
        left -= each * count;
    }
    return shares;
}

int visibleSlots(int slots, int listed, int visible)
{
    if (listed <= 0 || visible >= listed) {
        return slots;
    }
    const int seen = std::max(visible, 0);
    if (2 * seen > listed) {
        return slots - slots * (listed - seen) / listed;
    }
    return slots * seen / listed;
}

} // namespace jackdawdoor::limits
