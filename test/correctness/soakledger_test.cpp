/** Checks that the soak test reports each kind of violation and accepts permitted outcomes. */
#include "soak/soakledger.h"

#include <doctest/doctest.h>

using jackdawdoor::soak::SoakLedger;

TEST_CASE("the soak test reports an order that ran twice, a refused request that ran and an answer lost in a planned stop")
{
    SoakLedger ledger;
    ledger.run("twice", true);
    ledger.run("twice", true);
    ledger.answer("twice", false, 200);
    ledger.answer("refused", false, 503);
    ledger.run("refused", false);
    ledger.run("lost", true);
    ledger.cut("lost", true, true);
    const auto violations = ledger.violations();
    REQUIRE(violations.size() == 3);
    CHECK(violations[0].starts_with("LOST"));
    CHECK(violations[1].starts_with("REFUSED"));
    CHECK(violations[2].starts_with("TWICE"));
}

TEST_CASE("the soak test accepts repeated reads, unknown outcomes and connections lost in a crash")
{
    SoakLedger ledger;
    ledger.run("read", false);
    ledger.run("read", true);
    ledger.answer("read", true, 200);
    ledger.run("unknown", false);
    ledger.answer("unknown", false, 502);
    ledger.run("crash", true);
    ledger.cut("crash", false, false);
    ledger.answer("refused", false, 503);
    CHECK(ledger.violations().empty());
}
