/** @file burn_rate_func.h Counts good and bad events and computes the rate at which the error budget is used up. */
#pragma once

#include "burn_rate/burn_rate_type.h"
#include "core/name_table.h"

namespace lhub {

/** Names of burn states in reports. */
inline constexpr std::array<name_row<burn_state>, 3> BurnStateNames { {
    { burn_state::NoData, "no data" },
    { burn_state::Quiet, "quiet" },
    { burn_state::Burning, "BURNING" },
} };

/** Adds @p weight to the good or bad events of the minute of @p now. */
void noteEvent(burn_series& series, bool good, std::uint32_t weight, time_point now);

/** Events of the last @p window, including the current minute. */
event_counts sumEvents(const burn_series& series, std::chrono::minutes window, time_point now);

/**
 * Fraction of bad events as a multiple of the fraction that the objective allows. 0 without events or if the
 * objective allows no bad event. Thread safe.
 */
double burnRate(const event_counts& counts, const burn_objective& objective);

/** State of a pair of windows. Thread safe. */
burn_state evaluateBurn(
    const event_counts& longCounts, const event_counts& shortCounts, const burn_window_pair& pair,
    const burn_objective& objective);

/** Hours until a full error budget is used up at burn rate @p rate; negative if never. Thread safe. */
double hoursToExhaustion(double rate);

} // namespace lhub
