/** Accepted ranges of the contract's values.
 *
 * The ranges refuse typing errors and values that no instance could serve; they are wide enough for every planned
 * deployment.
 */
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace jackdawdoor::contract {

inline constexpr std::uint64_t mebibyte = std::uint64_t{1} << 20;

inline constexpr std::size_t maximumServices = 1000;
inline constexpr std::size_t maximumUpstreams = 1000; ///< of one service
inline constexpr std::size_t maximumOperations = 200; ///< of one service; the largest planned deployment has 33 on average
inline constexpr std::size_t maximumStatuses = 50;

inline constexpr double minimumPeakRate = 0.01; ///< requests per second; about one request in two minutes
inline constexpr double maximumPeakRate = 1'000'000; ///< the whole planned fleet peaks at 820,000

inline constexpr int maximumSlots = 10'000;
inline constexpr int maximumConnections = 100'000;

/** Faster answers are impossible with connections that take 1 ms to open and peers that are 8 ms away. */
inline constexpr Duration minimumUsefulWithin = std::chrono::milliseconds{20};

/** Longer operations need an asynchronous job that the caller polls. */
inline constexpr Duration maximumUsefulWithin = std::chrono::minutes{10};

/** Request bodies are held in memory until the request has been answered, so that it can be sent again. */
inline constexpr std::uint64_t maximumRequestBytes = 64 * mebibyte;

/** Answers are streamed; the limit cuts off an answer that never ends. */
inline constexpr std::uint64_t maximumAnswerBytes = 4096 * mebibyte;

/** Freshness headers count whole seconds. */
inline constexpr Duration minimumAnswerAge = std::chrono::seconds{1};
inline constexpr Duration maximumAnswerAge = std::chrono::hours{24 * 7};

/** Statuses below 200 are interim responses of HTTP itself, never a service's answer. */
inline constexpr int minimumWrongStatus = 200;
inline constexpr int maximumWrongStatus = 599;

} // namespace jackdawdoor::contract
