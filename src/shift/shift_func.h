/** @file shift_func.h Whether a request moves under a shift. */
#pragma once

#include "shift/shift_type.h"

namespace lhub {

/**
 * Share of the rate cap for @p zone: an equal part of it for every zone that the shift names, rounded down. It
 * follows from the shift object alone, so zones that cannot reach each other agree on it.
 */
std::uint32_t shareOf(const shift_config& config, const std::string& zone);

/** Takes a new or changed configuration into force. A higher share waits until no zone can use an older one. */
void configureShift(shift_progress& shift, const shift_config& config, const std::string& zone, time_point now);

/**
 * Forgets what an earlier owner moved: nothing moves until any window that it used, and any share that an older
 * configuration gave, is over.
 */
void restartShift(shift_progress& shift, time_point now);

/** A request arrived; adds its part of the fraction. */
void countArrival(shift_progress& shift, time_point now);

/** Whether the next request is due and the cap allows it. @p age is the age of the store's last confirmation. */
bool mayMove(shift_progress& shift, milliseconds age, time_point now);

/** A request is being moved. Precondition: mayMove() just said so. */
void countMove(shift_progress& shift, time_point now);

} // namespace lhub
