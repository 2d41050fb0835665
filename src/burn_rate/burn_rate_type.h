/** @file burn_rate_type.h Good and bad events of a service over time, and the alarm thresholds for its error budget. */
#pragma once

#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <vector>

namespace lhub {

/** Events of one minute. A request of weight 2 counts as two events. */
struct burn_bucket {
    std::int64_t minute = -1; ///< Minutes since the epoch of the VM's clock; -1 for an unused bucket.
    std::uint64_t good = 0; ///< Complete responses within the latency objective.
    std::uint64_t bad = 0; ///< All other failures for which the service is responsible.
};

/** Events of one service over the last six hours. */
struct burn_series {
    static constexpr std::size_t BucketCount = 360; ///< One a minute: six hours, the longest window in use.
    std::vector<burn_bucket> buckets; ///< Ring buffer indexed by minute; empty until the first event.
};

/** Events of a window. */
struct event_counts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

/** A pair of windows: the alarm is raised if the burn rate of both reaches the threshold (SRE Workbook, chapter 5). */
struct burn_window_pair {
    std::chrono::minutes longWindow; ///< Long enough that a short burst of errors raises no alarm.
    std::chrono::minutes shortWindow; ///< Ends the alarm soon after the errors have stopped.
    double threshold; ///< Burn rate; 1 uses up the budget in exactly one BudgetPeriod.
    const char* action; ///< What the operator should do on an alarm.
};

/** All pairs of windows in use. */
inline constexpr std::array<burn_window_pair, 2> BurnPairs { {
    { std::chrono::minutes(60), std::chrono::minutes(5), 14.4, "act now" },
    { std::chrono::minutes(360), std::chrono::minutes(30), 6.0, "act today" },
} };

/** Service-level objective of a service. */
struct burn_objective {
    std::uint32_t permille = 999; ///< Share of the events that should be good, in thousandths.
    std::uint32_t latencyMs = 1000; ///< A response later than this counts as bad, in milliseconds.
};

/** Time in which a burn rate of 1 uses up the error budget. */
inline constexpr std::chrono::hours BudgetPeriod { 24 * 30 };

/** State of a pair of windows. */
enum class burn_state {
    NoData, ///< No events in the long window.
    Quiet, ///< At least one window is below the threshold.
    Burning, ///< Both windows are at or above the threshold.
};

} // namespace lhub
