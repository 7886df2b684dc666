/** Compares log replay by many readers with a naive evaluation of the whole history.
 *
 * Guards against instances that put different versions of a contract in force, and against a version that decreases,
 * after retention gaps, late snapshots, repeated appends, and merges between peers in any order.
 */
#include "configuration/versiontable.h"
#include "correctness/configurationhistory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace jackdawdoor;
using namespace jackdawdoor::configuration;
using namespace jackdawdoor::test;

namespace {

struct Reader {
    VersionTable table{compileTestBody};
    std::map<CustomerId, Version> seen;
    bool mergedPeers = false;
    bool hadGap = false;
};

/** Checks the invariants of a reader. */
void checkReader(Reader &reader, const History &history)
{
    const Offset complete = reader.table.completeAsOf();
    RC_ASSERT(complete <= history.end());
    for (const CustomerId &customer : history.customers()) {
        const Version version = reader.table.versionOf(customer);
        RC_ASSERT(version >= reader.seen[customer]);
        reader.seen[customer] = version;
        const auto state = reader.table.stateOf(customer);
        if (state) {
            const CustomerState naive = history.stateAt(customer, state->asOf);
            RC_ASSERT(naive.version == state->version);
            RC_ASSERT(naive.body == state->body);
            RC_ASSERT((reader.table.policyOf(customer) != nullptr) == state->body.has_value());
            RC_ASSERT(state->asOf >= complete);
        } else {
            RC_ASSERT(history.stateAt(customer, complete).version == 0);
        }
        // Without peers a new reader must have no state rather than an outdated snapshot.
        if (state && !reader.mergedPeers && !reader.hadGap) {
            RC_ASSERT(reader.table.isCurrent(customer));
        }
        if (reader.table.isCurrent(customer)) {
            RC_ASSERT(history.stateAt(customer, reader.table.nextOffset()).version <= version);
        }
    }
}

void readSome(std::mt19937_64 &random, Reader &reader, const History &history, Offset firstRetained)
{
    const std::size_t count = 1 + random() % 8;
    reader.hadGap = reader.hadGap || (reader.table.nextOffset() > 0 && firstRetained > reader.table.nextOffset());
    reader.table.applyPage(TimePoint{}, history.page(reader.table.nextOffset(), firstRetained, count));
}

void exchange(std::mt19937_64 &random, Reader &from, Reader &to, const History &history)
{
    to.mergedPeers = true;
    for (const CustomerId &customer : history.customers()) {
        const auto state = from.table.stateOf(customer);
        if (state && random() % 3 != 0) {
            to.table.merge(*state);
        }
    }
    if (from.table.digest() == to.table.digest() && from.table.completeAsOf() > 0) {
        to.table.adoptComplete(from.table.completeAsOf());
    }
}

} // namespace

TEST_CASE("all readers that decide a customer decide as the whole history does")
{
    std::size_t lateReadersThatDecided = 0;
    std::size_t lateReadersComplete = 0;
    const bool holds = rc::check("replay equals naive evaluation", [&] {
        std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
        History history{random()};
        history.grow(20 + random() % 60);
        std::vector<Reader> readers(4);
        const Offset retainedAtStart = random() % history.end();
        for (int step = 0; step < 60; ++step) {
            history.grow(random() % 6);
            const std::size_t index = random() % readers.size();
            // Reader 0 has the whole log; the others start late and have gaps.
            const Offset newest = std::max(retainedAtStart, history.end() - std::min<Offset>(history.end(), 40));
            const Offset firstRetained = index == 0 ? 0 : newest;
            if (random() % 4 != 0) {
                readSome(random, readers[index], history, firstRetained);
            } else if (index != 0) {
                exchange(random, readers[random() % readers.size()], readers[index], history);
            }
            checkReader(readers[index], history);
        }
        while (readers[0].table.nextOffset() < history.end()) {
            readSome(random, readers[0], history, 0);
        }
        checkReader(readers[0], history);
        RC_ASSERT(readers[0].table.completeAsOf() == history.end());

        Reader late;
        const Offset start = random() % history.end();
        while (late.table.nextOffset() < history.end()) {
            readSome(random, late, history, start);
            checkReader(late, history);
        }
        lateReadersThatDecided += late.table.versions().empty() ? 0 : 1;
        lateReadersComplete += late.table.completeAsOf() == history.end() ? 1 : 0;
        // States of a peer that read the whole log decide what the rest of the log alone doesn't.
        for (const CustomerId &customer : history.customers()) {
            if (const auto state = readers[0].table.stateOf(customer)) {
                late.table.merge(*state);
            }
        }
        RC_ASSERT(late.table.versions() == readers[0].table.versions());
    });
    CHECK_MESSAGE(holds, "a reader decided differently, or a version decreased");
    CHECK_MESSAGE(lateReadersThatDecided >= 20, "snapshots hardly ever gave a late reader a start, so little was tested");
    CHECK_MESSAGE(lateReadersComplete >= 5, "cycle ends hardly ever completed a late reader, so little was tested");
}

TEST_CASE("merging peers' states gives the same table in every order")
{
    const bool holds = rc::check("merge is commutative, associative and idempotent", [] {
        std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
        History history{random()};
        history.grow(60);
        std::vector<CustomerState> states;
        for (int count = 0; count < 12; ++count) {
            const auto customers = history.customers();
            const CustomerId &customer = customers[random() % customers.size()];
            states.push_back(history.stateAt(customer, random() % (history.end() + 1)));
        }
        const auto mergeAll = [&history](const std::vector<CustomerState> &order) {
            VersionTable table{compileTestBody};
            for (const CustomerState &state : order) {
                table.merge(state);
            }
            std::vector<std::optional<CustomerState>> result;
            for (const CustomerId &customer : history.customers()) {
                result.push_back(table.stateOf(customer));
            }
            return result;
        };
        const auto expected = mergeAll(states);
        states.insert(states.end(), states.begin(), states.begin() + 6);
        std::shuffle(states.begin(), states.end(), random);
        RC_ASSERT(mergeAll(states) == expected);
    });
    CHECK_MESSAGE(holds, "the order of merges matters");
}

TEST_CASE("waiting publishes stay within their memory bound and lose no decision that is made")
{
    VersionTable table{compileTestBody};
    LogPage page;
    page.firstRetained = 1000;
    const std::string body = "ok" + std::string(100'000, 'x');
    for (Offset offset = 1000; offset < 1200; ++offset) {
        const CustomerId customer{"c" + std::to_string(offset % 2)};
        page.entries.push_back({offset, Duration{}, encodeRecord(Publish{customer, "p" + std::to_string(offset), 5, body})});
    }
    page.nextOffset = 1200;
    CHECK_MESSAGE(table.applyPage(TimePoint{}, page).empty(), "a publish was decided without knowing the version before it");
    table.merge(CustomerState{CustomerId{"c0"}, 5, 900, "okold"});
    CHECK_MESSAGE(table.versionOf(CustomerId{"c0"}) == 5, "a state from before the window decided records after it");
    table.merge(CustomerState{CustomerId{"c0"}, 5, 1000, std::nullopt});
    CHECK_MESSAGE(table.versionOf(CustomerId{"c0"}) == 5, "a state advanced although publishes after it were dropped");
    table.merge(CustomerState{CustomerId{"c0"}, 5, 1200, std::nullopt});
    CHECK_MESSAGE(table.isCurrent(CustomerId{"c0"}), "a state decided after the dropped publishes can't follow the log");
}
