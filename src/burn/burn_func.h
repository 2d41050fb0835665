/** @file burn_func.h Counting events and judging the rate at which the error budget burns. */
#pragma once

#include "burn/burn_type.h"
#include "core/name_table.h"

namespace lhub {

/** Names of burn states in reports. */
inline constexpr std::array<name_row<burn_state>, 3> BurnStateNames { {
    { burn_state::NoData, "no data" },
    { burn_state::Quiet, "quiet" },
    { burn_state::Burning, "BURNING" },
} };

/** Counts an event of @p weight at @p now. */
void noteEvent(burn_series& series, bool good, std::uint32_t weight, time_point now);

/** Events of the last @p window, the present minute included. */
burn_sum sumEvents(const burn_series& series, std::chrono::minutes window, time_point now);

/** Bad part of the events as a multiple of the part that the objective allows; 0 without events. Thread safe. */
double burnRate(const burn_sum& sum, const burn_objective& objective);

/** Judges a pair of windows. Thread safe. */
burn_state judgeBurn(
    const burn_sum& longSum, const burn_sum& shortSum, const burn_pair& pair, const burn_objective& objective);

/** Hours until the budget of a whole period is used up at this rate; negative when it never is. Thread safe. */
double hoursToExhaustion(double rate);

} // namespace lhub
