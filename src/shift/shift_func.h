/** @file shift_func.h Whether a request moves under a shift, and loans of the rate cap between zones. */
#pragma once

#include "shift/shift_type.h"
#include <optional>

namespace lhub {

/**
 * Share of the rate cap for @p zone, in moves a second: an equal part for every zone that the shift names, rounded
 * down; 0 for any other zone. It follows from the shift object alone, so zones that cannot reach each other agree on
 * it.
 */
std::uint32_t zoneShare(const shift_config& config, const std::string& zone);

/** The zone's own share that may be used at @p now, without loans: a raised share is delayed, a lowered one is not. */
std::uint32_t shareInForce(const shift_progress& shift, time_point now);

/**
 * Applies a new or changed configuration. A raised share comes into force when no zone can still use an older
 * configuration. A changed share ends the loans from other zones.
 */
void configureShift(shift_progress& shift, const shift_config& config, const std::string& zone, time_point now);

/**
 * For a new owner, which does not know what the earlier one moved: nothing moves until every window of the earlier
 * owner, and every share of an older configuration, is over.
 */
void resetShift(shift_progress& shift, time_point now);

/** Records the arrival of a request, which adds the shift's fraction of a request to what is due. */
void recordArrival(shift_progress& shift, time_point now);

/**
 * Whether a request is due to move and the cap allows it; counts it as held back when only the cap does not.
 * @param age time since the store last confirmed the configuration.
 */
bool isMoveDue(shift_progress& shift, milliseconds age, time_point now);

/**
 * Lends a part of this zone's share to another zone: what its own recent demand and other loans leave over.
 * @param wanted moves a second.
 * @param cap cap that the borrower has in force.
 * @return the moves a second that are lent; 0 when nothing is left over, the caps differ or the share is not in force.
 */
std::uint32_t lendShare(
    shift_progress& shift, const std::string& zone, std::uint32_t wanted, std::uint32_t cap, time_point now);

/**
 * Records a loan that another zone granted. Ignored when the cap has changed since, or when the answer to a later
 * request was recorded already.
 * @param cap cap under which the loan was requested.
 * @param sentAt when it was requested.
 */
void recordLoan(shift_progress& shift, const std::string& zone, const share_loan& loan, std::uint32_t cap,
    time_point sentAt);

/**
 * Checks whether a round of loan requests is due, and if so, records that it is sent now. Lowers the peak demand at
 * every call.
 * @return the moves a second to request; nothing when no request is due.
 */
std::optional<std::uint32_t> nextLoanRequest(shift_progress& shift, time_point now);

/** Moves that this zone may make in any window: its share in force, less what is lent, plus what is borrowed. */
std::uint32_t usableShare(const shift_progress& shift, time_point now);

/** Records that a request is moved. Precondition: isMoveDue() returned true for it. */
void recordMove(shift_progress& shift, time_point now);

} // namespace lhub
