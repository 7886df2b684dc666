/** Random numbers for the decision core.
 *
 * The core uses only a generator that its caller seeds, so that runs are reproducible.
 */
#pragma once

#include <random>

namespace jackdawdoor {

using RandomSource = std::mt19937_64;

/** Returns a uniformly distributed number in [0, 1). */
inline double uniform(RandomSource &random)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

} // namespace jackdawdoor
