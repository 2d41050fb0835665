/** @file burn_type.h Good and bad events of a service over time, for service-level burn. */
#pragma once

#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <vector>

namespace lhub {

/** Events of one minute. Requests that count double count as two. */
struct burn_bucket {
    std::int64_t minute = -1; ///< Minute on the VM's clock; -1 for an unused bucket.
    std::uint64_t good = 0; ///< Answered whole within the latency bound.
    std::uint64_t bad = 0; ///< Everything else that was the service's fault.
};

/** Six hours of one service, a bucket a minute. */
struct burn_series {
    static constexpr std::size_t Minutes = 360;
    std::vector<burn_bucket> buckets; ///< A ring by minute; made on the first event.
};

/** Sum over a window. */
struct burn_sum {
    std::uint64_t good = 0; ///< Good events.
    std::uint64_t bad = 0; ///< Bad events.
};

/** A pair of windows: an alarm needs both to burn faster than the threshold (SRE Workbook, chapter 5). */
struct burn_pair {
    std::chrono::minutes longWindow; ///< Shows that it matters.
    std::chrono::minutes shortWindow; ///< Shows that it goes on.
    double threshold; ///< Multiple of the rate that just uses up the budget.
    const char* action; ///< What an operator does.
};

/** The pairs in use. */
inline constexpr std::array<burn_pair, 2> BurnPairs { {
    { std::chrono::minutes(60), std::chrono::minutes(5), 14.4, "act now" },
    { std::chrono::minutes(360), std::chrono::minutes(30), 6.0, "act today" },
} };

/** Objective of a service. */
struct burn_objective {
    std::uint32_t permille = 999; ///< Part of the events that should be good, in thousandths.
    std::uint32_t latencyMs = 1000; ///< An answer later than this is bad.
};

/** Time over which the budget is spent at a burn rate of 1. */
inline constexpr std::chrono::hours BudgetPeriod { 24 * 30 };

/** Verdict on one pair of windows. */
enum class burn_state {
    NoData, ///< No events at all in the long window.
    Quiet, ///< Below the threshold.
    Burning, ///< Both windows above the threshold.
};

} // namespace lhub
