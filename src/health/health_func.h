/** @file health_func.h Outlier ejection and measured slowness. */
#pragma once

#include "health/health_type.h"

namespace lhub {

/** Takes the end of an attempt into account. Not thread safe. @return whether the endpoint was ejected by it. */
bool noteSignal(endpoint_health& health, health_signal signal, time_point now);

/** Takes a measured latency into account. @param expected the usual one, above 0. Not thread safe. */
void noteLatency(endpoint_health& health, milliseconds measured, milliseconds expected, time_point now);

/** Whether it gets nothing at @p now. Thread safe on a const object. */
bool isEjected(const endpoint_health& health, time_point now);

/** Expected latency relative to the usual one; an old measurement fades towards 1. Thread safe on a const object. */
double slownessAt(const endpoint_health& health, time_point now);

} // namespace lhub
