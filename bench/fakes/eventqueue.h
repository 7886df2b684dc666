/** Discrete-event scheduler: events run in order of time, then in the order they were scheduled. */
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace jackdawdoor::fakes {

/** Queue of events and the virtual clock they advance. */
class EventQueue
{
public:
    using Action = std::function<void()>;

    /** Schedules the action `delay` after the current virtual time. */
    void after(Duration delay, Action action)
    {
        m_events.push({m_now + delay, m_next++, std::move(action)});
    }

    /** Runs all events up to the given time and sets the clock to it. */
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = end;
    }

    TimePoint now() const
    {
        return m_now;
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        Action action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    std::priority_queue<Event> m_events;
    TimePoint m_now{std::chrono::hours{1}};
    std::uint64_t m_next = 0;
};

} // namespace jackdawdoor::fakes
