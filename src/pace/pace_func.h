/** @file pace_func.h Pace (slow start) of endpoints that have started or recovered. The functions are thread safe on const objects. */
#pragma once

#include "pace/pace_type.h"
#include <optional>
#include <string_view>
#include <vector>

namespace lhub {

/**
 * Begins the pace of an endpoint whose cold time begins or has ended.
 * @param coldUntil end of its cold time; the epoch when it was never cold.
 */
void updatePhase(endpoint_pace& pace, time_point coldUntil, time_point now);

/** Begins the pace of an endpoint that was ejected until @p ejectedUntil; while it is cold, lowers its level. An ejection during a pace
 *  goes on at half of its level. */
void recordEjection(endpoint_pace& pace, time_point ejectedUntil, time_point now);

/** Level at @p now, from 0.05 to 1. Doubles every 500 ms after the last evidence, so that an endpoint without requests gets its full share again. */
double levelAt(const endpoint_pace& pace, time_point now);

/** Whether evidence still changes the pace: its level is below 1, or it began lately. */
bool isPaced(const endpoint_pace& pace, time_point now);

/** Applies the end of an attempt that was sent at @p sentAt; one from before the pace began is ignored. */
void recordEvidence(endpoint_pace& pace, pace_evidence evidence, time_point sentAt, time_point now);

/** The level and the time since the begin when the level is first below 1, and when it has reached 1 after that; nothing at other times. */
std::optional<pace_change> paceChange(endpoint_pace& pace, time_point now);

/** Whether an object is among the part of its objects that an endpoint gets at a level. An object within the part stays there while the level rises. */
bool isWithinLevel(std::uint64_t object, std::string_view endpoint, double level);

/** Requests a second that the owner of a cold endpoint may send at a level: at least 1, at most @p maxPerSecond. */
double coldRateAt(double level, double maxPerSecond);

/** Applies the level that another VM tells of this start, unless newer evidence is known or this VM does not pace the endpoint. */
void applyPaceUpdate(endpoint_pace& pace, const pace_update& update, time_point now);

/** Encodes a message for other VMs; differs in its first key from the other messages that start with a brace. */
std::string encodePaceUpdates(const std::vector<pace_update>& updates);
/** Decodes a message; no updates if any part of it is malformed. Levels outside of 0.05 to 1 are limited to these. */
std::vector<pace_update> decodePaceUpdates(std::string_view message);

} // namespace lhub
