/** In-memory stand-in for the platform's append-only log, with outages, lost acknowledgements and retention. */
#pragma once

#include "base/time.h"
#include "configuration/logpage.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace jackdawdoor::fakes {

/** Append-only log of one stream. */
class FakeLog
{
public:
    explicit FakeLog(Duration retention)
        : m_retention(retention)
    {
    }

    /** Appends a record and returns its offset; nullopt while the log is down. */
    std::optional<std::uint64_t> append(TimePoint now, std::string record)
    {
        if (down) {
            return std::nullopt;
        }
        ++appends;
        m_records.push_back({now, std::move(record)});
        return m_first + m_records.size() - 1;
    }

    /** Reads a page; nullopt while the log is down. */
    std::optional<configuration::LogPage> read(TimePoint now, std::uint64_t from, std::uint32_t maximum)
    {
        if (down) {
            return std::nullopt;
        }
        ++reads;
        expire(now);
        configuration::LogPage page;
        page.firstRetained = m_first;
        page.retention = m_retention;
        std::uint64_t offset = std::max(from, m_first);
        const std::uint64_t end = m_first + m_records.size();
        for (; offset < end && page.entries.size() < maximum; ++offset) {
            const Stored &stored = m_records[offset - m_first];
            page.entries.push_back({offset, now - stored.at, stored.record});
        }
        page.nextOffset = offset;
        return page;
    }

    bool down = false;
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;

private:
    struct Stored {
        TimePoint at;
        std::string record;
    };

    void expire(TimePoint now)
    {
        while (!m_records.empty() && now - m_records.front().at > m_retention) {
            m_records.pop_front();
            ++m_first;
        }
    }

    Duration m_retention;
    std::deque<Stored> m_records;
    std::uint64_t m_first = 0;
};

} // namespace jackdawdoor::fakes
