/** @file health_func.h Ejection of failing endpoints, and measurement of slow ones. */
#pragma once

#include "health/health_type.h"

namespace lhub {

/** Records a health signal. Not thread safe. @return whether it caused an ejection of the endpoint. */
bool recordSignal(endpoint_health& health, health_signal signal, time_point now);

/** Records a measured response time. @param expected the expected one, above 0. Not thread safe. */
void recordLatency(endpoint_health& health, milliseconds measured, milliseconds expected, time_point now);

/** Whether the endpoint is ejected at @p now and gets no requests. Thread safe on a const object. */
bool isEjected(const endpoint_health& health, time_point now);

/** Response time of the endpoint relative to the expected one; without new measurements it decays towards 1. Thread safe on a
 *  const object. */
double slownessAt(const endpoint_health& health, time_point now);

/** Records what the endpoint reported about processing times on its machine. @param factor relative to the usual times, above 0. Not thread safe. */
void recordWorkFactor(endpoint_health& health, double factor, time_point now);

/** Expected processing times on the endpoint's machine relative to the usual ones: its last report decays towards the part that
 *  lasts, and that towards 1, since a machine may be slow for a moment or for long. Thread safe on a const object. */
double workFactorAt(const endpoint_health& health, time_point now);

} // namespace lhub
