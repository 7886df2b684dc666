/** Guards against a change of the hash, with which two releases would place services differently. */
#include "base/stablehash.h"

#include <doctest/doctest.h>

#include <string>

using namespace jackdawdoor;

TEST_CASE("stableHash keeps its value across builds")
{
    CHECK_MESSAGE(stableHash("") == 0x2d06800538d394c2ULL, "the hash of the empty string differs from the published XXH3 value");
    CHECK_MESSAGE(stableHash("a") != stableHash("b"), "different inputs have the same hash");
}

TEST_CASE("rendezvousWeight spreads keys evenly")
{
    constexpr int keys = 4800;
    constexpr int candidates = 48;
    int owned = 0;
    for (int key = 0; key < keys; ++key) {
        const std::string name = "key" + std::to_string(key);
        const auto first = rendezvousWeight(name, "instance0");
        bool wins = true;
        for (int candidate = 1; candidate < candidates; ++candidate) {
            wins = wins && first > rendezvousWeight(name, "instance" + std::to_string(candidate));
        }
        owned += wins ? 1 : 0;
    }
    CHECK_MESSAGE(owned > 50, "one of 48 candidates owns less than half its share of keys");
    CHECK_MESSAGE(owned < 200, "one of 48 candidates owns more than twice its share of keys");
}
