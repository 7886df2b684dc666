/** Random history of the configuration log with its naive evaluation, for tests. */
#pragma once

#include "configuration/contractcompiler.h"
#include "configuration/customerstate.h"
#include "configuration/logpage.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace jackdawdoor::test {

/** A body is valid if it starts with "ok"; the policy shows which body it came from. */
inline Result<contract::CustomerPolicy> compileTestBody(const std::string &body)
{
    if (body.rfind("ok", 0) != 0) {
        return Error{"compile", "test", "invalid body"};
    }
    contract::CustomerPolicy policy;
    policy.organisationHeader = body;
    return policy;
}

/** Random log contents of correct writers: races, repeated and invalid publishes, tombstones, snapshots of any age and
 * true cycle ends; and malformed records. */
class History
{
public:
    explicit History(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::vector<CustomerId> customers() const
    {
        return {CustomerId{"a"}, CustomerId{"b"}, CustomerId{"c"}, CustomerId{"d"}};
    }

    configuration::Offset end() const
    {
        return m_records.size();
    }

    /** State by naive evaluation of all records before the offset. */
    configuration::CustomerState stateAt(const CustomerId &customer, configuration::Offset asOf) const
    {
        configuration::CustomerState state{customer, 0, asOf, std::nullopt};
        for (configuration::Offset offset = 0; offset < std::min(asOf, end()); ++offset) {
            const auto &record = m_decoded[offset];
            const auto *publish = record ? std::get_if<configuration::Publish>(&*record) : nullptr;
            const bool matches = publish != nullptr && publish->customer == customer && publish->baseVersion == state.version;
            if (matches && (!publish->body || compileTestBody(*publish->body))) {
                state.version = offset + 1;
                state.body = publish->body;
            }
        }
        return state;
    }

    /** Version as which the whole log accepts the publish of this id; 0 when it was not accepted. */
    configuration::Version acceptedVersion(const std::string &publishId) const
    {
        for (configuration::Offset offset = 0; offset < end(); ++offset) {
            const auto *publish = m_decoded[offset] ? std::get_if<configuration::Publish>(&*m_decoded[offset]) : nullptr;
            if (publish != nullptr && publish->publishId == publishId && stateAt(publish->customer, offset + 1).version == offset + 1) {
                return offset + 1;
            }
        }
        return 0;
    }

    void append(std::string record)
    {
        m_decoded.push_back(configuration::decodeRecord(record));
        m_records.push_back(std::move(record));
    }

    void grow(std::size_t count)
    {
        for (; count > 0; --count) {
            appendRandom();
        }
    }

    configuration::LogPage page(configuration::Offset from, configuration::Offset firstRetained, std::size_t count) const
    {
        configuration::LogPage page;
        page.firstRetained = std::min(firstRetained, end());
        page.retention = std::chrono::hours{24};
        page.nextOffset = std::max(from, page.firstRetained);
        for (; page.nextOffset < end() && count > 0; --count) {
            page.entries.push_back({page.nextOffset, Duration{}, m_records[page.nextOffset]});
            ++page.nextOffset;
        }
        return page;
    }

private:
    std::size_t draw(std::size_t bound)
    {
        return m_random() % bound;
    }

    void appendRandom()
    {
        const auto names = customers();
        const CustomerId &customer = names[draw(names.size())];
        const std::size_t kind = draw(100);
        if (kind < 35) {
            appendPublish(customer);
        } else if (kind < 45 && !m_publishes.empty()) {
            append(m_publishes[draw(m_publishes.size())]);
        } else if (kind < 80) {
            appendSnapshot(customer);
        } else if (kind < 92) {
            appendCycleEnd();
        } else {
            append(kind % 2 == 0 ? "{\"kind\":\"snapshot\",\"customer\":\"a\",\"version\":-1}" : "\xff garbage");
        }
    }

    void appendPublish(const CustomerId &customer)
    {
        const configuration::Version current = stateAt(customer, end()).version;
        const configuration::Version stale = current == 0 ? draw(9) : draw(current);
        configuration::Publish publish{customer, "p" + std::to_string(end()), draw(3) == 0 ? stale : current, std::nullopt};
        if (draw(5) != 0) {
            publish.body = (draw(5) == 0 ? "bad" : "ok") + std::to_string(end());
        }
        append(configuration::encodeRecord(publish));
        m_publishes.push_back(m_records.back());
    }

    void appendSnapshot(const CustomerId &customer)
    {
        const configuration::Offset asOf = draw(3) == 0 ? draw(end() + 1) : end() - std::min<std::size_t>(end(), draw(3));
        const auto state = stateAt(customer, asOf);
        append(configuration::encodeRecord(configuration::Snapshot{customer, state.version, asOf, state.body}));
    }

    /** Appends a cycle end if one that isn't too old would be true. */
    void appendCycleEnd()
    {
        const configuration::Offset asOf = end() - std::min<std::size_t>(end(), draw(25));
        const auto names = customers();
        const bool isTrue = std::all_of(names.begin(), names.end(), [&](const CustomerId &customer) {
            return stateAt(customer, asOf).version == 0 || hasSnapshot(customer, asOf);
        });
        if (isTrue) {
            append(configuration::encodeRecord(configuration::CycleEnd{asOf}));
        }
    }

    bool hasSnapshot(const CustomerId &customer, configuration::Offset from) const
    {
        for (configuration::Offset offset = from; offset < end(); ++offset) {
            const auto &record = m_decoded[offset];
            const auto *snapshot = record ? std::get_if<configuration::Snapshot>(&*record) : nullptr;
            if (snapshot != nullptr && snapshot->customer == customer && snapshot->version > 0) {
                return true;
            }
        }
        return false;
    }

    std::mt19937_64 m_random;
    std::vector<std::string> m_records;
    std::vector<std::optional<configuration::LogRecord>> m_decoded; ///< m_records, decoded once
    std::vector<std::string> m_publishes;
};

} // namespace jackdawdoor::test
