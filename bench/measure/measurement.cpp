#include "measure/measurement.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace jackdawdoor::measure {

namespace {

constexpr std::size_t keptTraces = 5;

void append(std::vector<double> &to, const std::vector<double> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return text;
}

std::string line(const std::string &label, const std::string &value, bool missed = false)
{
    return "  " + label + std::string(label.size() < 24 ? 24 - label.size() : 1, ' ') + value + (missed ? "  MISSED" : "") + "\n";
}

std::string line(const std::string &label, std::uint64_t value, bool missed = false)
{
    return line(label, std::to_string(value), missed);
}

std::string spread(const std::vector<double> &samples)
{
    return "p50 " + number(percentile(samples, 0.5)) + " s, p99 " + number(percentile(samples, 0.99)) + " s, max "
           + number(percentile(samples, 1)) + " s, samples " + std::to_string(samples.size());
}

bool missed(double value, double target)
{
    return target > 0 && value > target;
}

} // namespace

void Measurement::addTrace(const std::string &trace)
{
    if (broken.size() < keptTraces) {
        broken.push_back(trace);
    }
}

void Measurement::addMistake(const std::string &trace)
{
    if (mistakes.size() < keptTraces) {
        mistakes.push_back(trace);
    }
}

void Measurement::merge(const Measurement &other)
{
    runs += other.runs;
    append(detectionSeconds, other.detectionSeconds);
    append(inForceSeconds, other.inForceSeconds);
    const double total = static_cast<double>(runs);
    controlBytesPerSecond += (other.controlBytesPerSecond - controlBytesPerSecond) * static_cast<double>(other.runs) / total;
    floorMargin = std::min(floorMargin, other.floorMargin);
    peakRunning = std::max(peakRunning, other.peakRunning);
    requestsOfDeath += other.requestsOfDeath;
    for (std::uint64_t Measurement::*count : {&Measurement::undetected,
                                              &Measurement::falseEjections,
                                              &Measurement::floorViolations,
                                              &Measurement::submissions,
                                              &Measurement::doubledRuns,
                                              &Measurement::falseNotRun,
                                              &Measurement::falseAnswers,
                                              &Measurement::lostSubmissions,
                                              &Measurement::honestUnknowns,
                                              &Measurement::abandonedNotRun,
                                              &Measurement::crashes,
                                              &Measurement::reads,
                                              &Measurement::refused,
                                              &Measurement::late,
                                              &Measurement::lost,
                                              &Measurement::badAnswers,
                                              &Measurement::inTime,
                                              &Measurement::originals,
                                              &Measurement::attempts,
                                              &Measurement::notInForce,
                                              &Measurement::versionReverts}) {
        this->*count += other.*count;
    }
    for (const std::string &trace : other.broken) {
        addTrace(trace);
    }
}

bool Measurement::invariantsHold() const
{
    return floorViolations + doubledRuns + falseNotRun + falseAnswers + versionReverts + lostSubmissions == 0;
}

double Measurement::amplification() const
{
    return originals == 0 ? 0 : static_cast<double>(attempts) / static_cast<double>(originals);
}

double percentile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0;
    }
    std::sort(samples.begin(), samples.end());
    const double rank = std::ceil(share * static_cast<double>(samples.size()));
    return samples[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

std::string toText(const Measurement &m)
{
    std::string text =
        m.name + " (" + m.policy + ", " + m.deployment + ", seed " + std::to_string(m.seed) + ", runs " + std::to_string(m.runs) + ")\n";
    const double detection = percentile(m.detectionSeconds, 0.99);
    if (!m.detectionSeconds.empty() || m.undetected > 0) {
        const bool late = missed(detection, m.detectionTarget) || (m.detectionTarget > 0 && m.undetected > 0);
        text += line("detection time", spread(m.detectionSeconds) + ", undetected " + std::to_string(m.undetected), late);
    }
    const bool tooMany = m.falseEjectionTarget >= 0 && m.falseEjections > static_cast<std::uint64_t>(m.falseEjectionTarget);
    text += line("false ejections", m.falseEjections, tooMany);
    text += line("capacity above floor", m.floorMargin == 1000 ? "not seen" : std::to_string(m.floorMargin));
    text += line("floor violations", m.floorViolations, m.floorViolations > 0);
    text += line("submissions", m.submissions);
    text += line("doubled runs", m.doubledRuns, m.doubledRuns > 0);
    text += line("false not run", m.falseNotRun, m.falseNotRun > 0);
    text += line("false answers", m.falseAnswers, m.falseAnswers > 0);
    text += line("lost submissions", m.lostSubmissions, m.lostSubmissions > 0);
    text += line("honest unknowns", m.honestUnknowns);
    text += line("given up, not run", m.abandonedNotRun);
    text += line("reads", m.reads);
    text += line("answered in time", m.inTime);
    text += line("refused", m.refused);
    text += line("late", m.late);
    text += line("lost reads", m.lost);
    text += line("bad answers", m.badAnswers);
    text += line("peak at one upstream", std::to_string(m.peakRunning) + " of " + std::to_string(m.slots) + " slots");
    text += line("retry amplification", number(m.amplification()), missed(m.amplification(), m.amplificationTarget));
    if (m.crashes > 0) {
        text += line("upstream crashes", std::to_string(m.crashes) + " by " + std::to_string(m.requestsOfDeath) + " requests of death");
    }
    text += line("control bytes/s", number(m.controlBytesPerSecond), missed(m.controlBytesPerSecond, m.controlTarget));
    if (!m.controlBytesByKind.empty()) {
        std::string kinds;
        for (const double bytes : m.controlBytesByKind) {
            kinds += (kinds.empty() ? "" : ", ") + number(bytes);
        }
        text += line("  by kind of message", kinds);
    }
    if (!m.inForceSeconds.empty() || m.notInForce > 0) {
        const bool late = missed(percentile(m.inForceSeconds, 0.99), m.inForceTarget) || m.notInForce > 0;
        text += line("time to in force", spread(m.inForceSeconds) + ", missing " + std::to_string(m.notInForce), late);
    }
    text += line("version reverts", m.versionReverts, m.versionReverts > 0);
    for (const std::string &trace : m.mistakes) {
        text += "  false ejection: " + trace + "\n";
    }
    for (const std::string &trace : m.broken) {
        text += "  BROKEN " + trace + "\n";
    }
    return text;
}

std::string toJson(const Measurement &m)
{
    const nlohmann::json document = {{"scenario", m.name},
                                     {"policy", m.policy},
                                     {"deployment", m.deployment},
                                     {"seed", m.seed},
                                     {"runs", m.runs},
                                     {"detection_p50", percentile(m.detectionSeconds, 0.5)},
                                     {"detection_p99", percentile(m.detectionSeconds, 0.99)},
                                     {"detection_max", percentile(m.detectionSeconds, 1)},
                                     {"detection_samples", m.detectionSeconds.size()},
                                     {"undetected", m.undetected},
                                     {"false_ejections", m.falseEjections},
                                     {"capacity_above_floor", m.floorMargin},
                                     {"floor_violations", m.floorViolations},
                                     {"submissions", m.submissions},
                                     {"doubled_runs", m.doubledRuns},
                                     {"false_not_run", m.falseNotRun},
                                     {"false_answers", m.falseAnswers},
                                     {"lost_submissions", m.lostSubmissions},
                                     {"honest_unknowns", m.honestUnknowns},
                                     {"given_up_not_run", m.abandonedNotRun},
                                     {"reads", m.reads},
                                     {"in_time", m.inTime},
                                     {"refused", m.refused},
                                     {"late", m.late},
                                     {"lost_reads", m.lost},
                                     {"bad_answers", m.badAnswers},
                                     {"peak_running", m.peakRunning},
                                     {"slots", m.slots},
                                     {"amplification", m.amplification()},
                                     {"upstream_crashes", m.crashes},
                                     {"requests_of_death", m.requestsOfDeath},
                                     {"control_bytes_per_second", m.controlBytesPerSecond},
                                     {"in_force_p99", percentile(m.inForceSeconds, 0.99)},
                                     {"in_force_max", percentile(m.inForceSeconds, 1)},
                                     {"not_in_force", m.notInForce},
                                     {"version_reverts", m.versionReverts},
                                     {"invariants_hold", m.invariantsHold()},
                                     {"broken", m.broken}};
    return document.dump();
}

} // namespace jackdawdoor::measure
