/** Guards against publish results that contradict the log, when the log loses acknowledgements or appends late. */
#include "configuration/publishsession.h"
#include "correctness/configurationhistory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace jackdawdoor;
using namespace jackdawdoor::configuration;
using namespace jackdawdoor::test;
using namespace std::chrono_literals;

namespace {

/** Runs one session to its end against a history to which other publishers append concurrently. */
class Driver
{
public:
    Driver(std::uint64_t seed, History &history)
        : m_random(seed)
        , m_history(history)
        , m_outage(m_random() % 8 == 0)
        , m_racing(m_random() % 2 == 0)
    {
    }

    PublishResult run(PublishSession &session)
    {
        PublishAction action = session.start(m_now);
        while (!std::holds_alternative<PublishResult>(action)) {
            m_now += 20ms;
            m_history.grow(m_racing ? m_random() % 2 : 0);
            action = std::visit(
                [&](const auto &typed) {
                    return perform(session, typed);
                },
                action);
        }
        // Copies in transit are appended after the publisher has ended.
        for (const std::string &record : m_late) {
            m_history.append(record);
        }
        return std::get<PublishResult>(action);
    }

    int copies = 0;

private:
    PublishAction perform(PublishSession &session, const AppendRecord &append)
    {
        ++copies;
        switch (m_random() % (m_outage ? 3 : 4)) {
        case 0:
            return session.onAppendFailed(m_now, true);
        case 1:
            m_late.push_back(append.record);
            return session.onAppendFailed(m_now, false);
        case 2:
            m_history.append(append.record);
            return session.onAppendFailed(m_now, false);
        default:
            m_history.append(append.record);
            return session.onAppended(m_now, m_history.end() - 1);
        }
    }

    PublishAction perform(PublishSession &session, const LogRead &read)
    {
        if ((m_outage && copies > 0) || m_random() % 5 == 0) {
            return session.onReadFailed(m_now);
        }
        return session.onPage(m_now, m_history.page(read.fromOffset, 0, 1 + m_random() % 10));
    }

    PublishAction perform(PublishSession &session, const WaitFor &wait)
    {
        m_now += wait.delay;
        return session.onTick(m_now);
    }

    PublishAction perform(PublishSession &, const PublishResult &result)
    {
        return result;
    }

    std::mt19937_64 m_random;
    History &m_history;
    bool m_outage; ///< the log can't be read any more after the first append
    bool m_racing;
    TimePoint m_now;
    std::vector<std::string> m_late;
};

} // namespace

TEST_CASE("the result of a publish is true of the log, however acknowledgements are lost")
{
    std::map<PublishOutcome, int> outcomes;
    int acceptedAfterSeveralCopies = 0;
    const bool holds = rc::check("publish result equals log", [&] {
        std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
        History history{random()};
        history.grow(random() % 30);
        const CustomerId customer = history.customers()[random() % 4];
        const Offset asOf = history.end() - std::min<Offset>(history.end(), random() % 6);
        const bool valid = random() % 10 != 0;
        PublishSession session{history.stateAt(customer, asOf), "mine", valid ? "okmine" : "badmine", compileTestBody};
        Driver driver{random(), history};
        const PublishResult result = driver.run(session);

        const Version accepted = history.acceptedVersion("mine");
        ++outcomes[result.outcome];
        acceptedAfterSeveralCopies += result.outcome == PublishOutcome::Accepted && driver.copies > 1 ? 1 : 0;
        if (result.outcome == PublishOutcome::Accepted) {
            RC_ASSERT(result.version == accepted);
        } else if (result.outcome == PublishOutcome::LostRace || result.outcome == PublishOutcome::Rejected) {
            RC_ASSERT(accepted == 0);
        }
        if (result.outcome == PublishOutcome::LostRace) {
            RC_ASSERT(result.version > 0);
            RC_ASSERT(history.stateAt(customer, history.end()).version >= result.version);
        }
        RC_ASSERT(valid || result.outcome == PublishOutcome::Rejected);
    });
    CHECK_MESSAGE(holds, "a publish result contradicts the log");
    CHECK_MESSAGE(outcomes.size() == 4, "some outcome never occurred, so it was not tested");
    CHECK_MESSAGE(acceptedAfterSeveralCopies > 0, "no publish was repeated and accepted, so that was not tested");
}

TEST_CASE("a publish whose base has expired from the log is refused rather than appended")
{
    History history{7};
    history.grow(30);
    PublishSession session{history.stateAt(CustomerId{"a"}, 3), "mine", "okmine", compileTestBody};
    PublishAction action = session.start(TimePoint{});
    while (const auto *read = std::get_if<LogRead>(&action)) {
        action = session.onPage(TimePoint{}, history.page(read->fromOffset, 30, 10));
    }
    const auto *result = std::get_if<PublishResult>(&action);
    REQUIRE_MESSAGE(result != nullptr, "the session appended on a base that it can't check");
    CHECK_MESSAGE(result->outcome == PublishOutcome::Rejected, "a publish that was not appended isn't reported as rejected");
}
