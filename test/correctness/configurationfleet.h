/** Simulated fleet of Configuration objects with a log and lossy messages in virtual time, for tests. */
#pragma once

#include "configuration/configuration.h"
#include "correctness/configurationhistory.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jackdawdoor::test {

/** Instances are numbered; a replaced one keeps its id and gets a new incarnation. */
class ConfigurationFleet
{
public:
    struct Process {
        std::unique_ptr<RandomSource> random;
        std::unique_ptr<configuration::Configuration> configuration;
        std::map<CustomerId, configuration::Version> seen;
        std::optional<configuration::LogRead> read;
        bool hasLog = true;
        std::uint64_t bytesSent = 0;
    };

    ConfigurationFleet(std::uint64_t seed, std::size_t size, Duration retentionTime)
        : reference(compileTestBody)
        , m_retention(retentionTime)
        , m_random(seed)
    {
        processes.resize(size);
        for (std::size_t index = 0; index < size; ++index) {
            replace(index);
        }
    }

    void replace(std::size_t index)
    {
        Process process;
        process.random = std::make_unique<RandomSource>(m_random());
        process.configuration = std::make_unique<configuration::Configuration>(ref(index), compileTestBody, *process.random);
        processes[index] = std::move(process);
    }

    /** Appends a publish with the current version as its base; returns the offset. */
    configuration::Offset publish(const std::string &customer, std::optional<std::string> body)
    {
        const CustomerId id{customer};
        const std::string publishId = "p" + std::to_string(m_log.size());
        append(configuration::encodeRecord(configuration::Publish{id, publishId, reference.versionOf(id), std::move(body)}));
        return m_log.size() - 1;
    }

    void run(Duration duration, const std::function<void()> &check = {})
    {
        for (const TimePoint end = now + duration; now < end; now += tick) {
            deliver();
            for (std::size_t index = 0; index < processes.size(); ++index) {
                answerRead(index);
                applyStep(index, processes[index].configuration->onTick(now, view(index)));
            }
            if (check) {
                check();
            }
        }
    }

    /** True when the instance has exactly the versions and policies that the whole log gives. */
    bool agrees(const Process &process) const
    {
        if (process.configuration->versions() != reference.versions()) {
            return false;
        }
        for (const auto &[customer, version] : reference.versions()) {
            const auto policy = process.configuration->policyOf(customer);
            const auto expected = reference.policyOf(customer);
            if ((policy == nullptr) != (expected == nullptr) || (policy && !(*policy == *expected))) {
                return false;
            }
        }
        return true;
    }

    std::size_t agreeing() const
    {
        return static_cast<std::size_t>(std::count_if(processes.begin(), processes.end(), [this](const Process &process) {
            return agrees(process);
        }));
    }

    bool allAgree() const
    {
        return agreeing() == processes.size();
    }

    configuration::Offset firstRetained() const
    {
        configuration::Offset offset = m_firstRetained;
        while (offset < m_log.size() && now - m_log[offset].first > m_retention) {
            ++offset;
        }
        return offset;
    }

    TimePoint now;
    std::vector<Process> processes;
    configuration::VersionTable reference; ///< reads all records as they are appended
    bool logUp = true;
    int lossPercent = 0;

private:
    static constexpr Duration tick = std::chrono::milliseconds{100};

    struct Transit {
        std::size_t to;
        InstanceRef from;
        configuration::ConfigurationMessage message;
    };

    static InstanceRef ref(std::size_t index)
    {
        return {InstanceId{"i" + std::string(index < 10 ? "0" : "") + std::to_string(index)}, 1};
    }

    membership::MembershipView view(std::size_t index) const
    {
        membership::MembershipView view;
        for (std::size_t member = 0; member < processes.size(); ++member) {
            const DataCentreId dataCentre{"dc" + std::to_string(member % 3)};
            view.members.push_back({ref(member), "address", dataCentre, membership::MemberState::Live});
        }
        view.self = ref(index);
        view.epoch = 1;
        return view;
    }

    void append(std::string record)
    {
        const configuration::Offset offset = m_log.size();
        m_log.emplace_back(now, record);
        reference.applyPage(now, {0, offset + 1, m_retention, {{offset, Duration{}, std::move(record)}}});
    }

    void answerRead(std::size_t index)
    {
        Process &process = processes[index];
        if (!process.read) {
            return;
        }
        const configuration::LogRead read = *std::exchange(process.read, std::nullopt);
        if (!logUp || !process.hasLog) {
            applyStep(index, process.configuration->onLogFailed(now));
            return;
        }
        m_firstRetained = firstRetained();
        configuration::LogPage page{m_firstRetained, std::max(read.fromOffset, m_firstRetained), m_retention, {}};
        while (page.nextOffset < m_log.size() && page.entries.size() < read.maximumRecords) {
            const auto &[time, record] = m_log[page.nextOffset];
            page.entries.push_back({page.nextOffset, std::chrono::duration_cast<Duration>(now - time), record});
            ++page.nextOffset;
        }
        applyStep(index, process.configuration->onLogPage(now, page));
    }

    void applyStep(std::size_t index, configuration::ConfigurationStep step)
    {
        Process &process = processes[index];
        if (step.read) {
            process.read = step.read;
        }
        for (std::string &record : step.append) {
            if (logUp && process.hasLog) {
                append(std::move(record));
            }
        }
        for (const auto &change : step.changes) {
            REQUIRE_MESSAGE(change.version > process.seen[change.customer], "a version in force decreased");
            process.seen[change.customer] = change.version;
        }
        for (auto &outgoing : step.messages) {
            std::visit(
                [&process](const auto &message) {
                    const std::size_t size = nlohmann::json::to_cbor(nlohmann::json(message)).size();
                    REQUIRE_MESSAGE(size <= configuration::maximumMessageBytes, "a message is larger than its bound");
                    process.bytesSent += size;
                },
                outgoing.message);
            if (static_cast<int>(m_random() % 100) >= lossPercent) {
                const std::size_t to = std::stoul(outgoing.to.id.value.substr(1));
                m_transit.push_back({to, ref(index), std::move(outgoing.message)});
            }
        }
    }

    void deliver()
    {
        for (Transit &transit : std::exchange(m_transit, {})) {
            applyStep(transit.to, processes[transit.to].configuration->onPeerMessage(now, transit.from, transit.message));
        }
    }

    Duration m_retention;
    std::mt19937_64 m_random;
    std::vector<std::pair<TimePoint, std::string>> m_log;
    configuration::Offset m_firstRetained = 0;
    std::vector<Transit> m_transit;
};

} // namespace jackdawdoor::test
