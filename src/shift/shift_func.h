/** @file shift_func.h Whether a request moves under a shift. */
#pragma once

#include "shift/shift_type.h"
#include <optional>

namespace lhub {

/**
 * Share of the rate cap for @p zone: an equal part of it for every zone that the shift names, rounded down. It
 * follows from the shift object alone, so zones that cannot reach each other agree on it.
 */
std::uint32_t shareOf(const shift_config& config, const std::string& zone);

/** The zone's own share that may be used at @p now, before loans: a raised one waits, a lowered one does not. */
std::uint32_t ownShare(const shift_progress& shift, time_point now);

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

/** Lends another zone what this one did not need of late; 0 when there is nothing or the caps differ. */
std::uint32_t lendShare(
    shift_progress& shift, const std::string& zone, std::uint32_t wanted, std::uint32_t cap, time_point now);

/** Takes note of a loan that another zone granted to a request sent at @p sentAt under the cap @p cap. */
void borrowShare(shift_progress& shift, const std::string& zone, const share_loan& loan, std::uint32_t cap,
    time_point sentAt);

/** How much should be borrowed now; nothing when it is not due. Notes that it is asked for. */
std::optional<std::uint32_t> wantedLoan(shift_progress& shift, time_point now);

/** Moves that this zone may make in any window: its share, less what is lent, plus what is borrowed. */
std::uint32_t usableShare(const shift_progress& shift, time_point now);

/** A request is being moved. Precondition: mayMove() just said so. */
void countMove(shift_progress& shift, time_point now);

} // namespace lhub
