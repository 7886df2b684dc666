/** Randomness of the decision core.
 *
 * The core draws only from a source that its caller seeds, so that a run can be repeated.
 */
#pragma once

#include <random>

namespace jackdawdoor {

using RandomSource = std::mt19937_64;

/** Uniform number in [0, 1). */
inline double uniform(RandomSource &random)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

} // namespace jackdawdoor
