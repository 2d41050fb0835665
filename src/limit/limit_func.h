/** @file limit_func.h Limits that hold over all VMs together without any agreement between them. */
#pragma once

#include "limit/limit_type.h"

namespace lhub {

/** Counts one event. Not thread safe. */
void countEvent(second_counts& counts, time_point now);

/** Events in the @p window that ends now; whole seconds, the current one included. Thread safe on a const object. */
std::uint32_t eventsWithin(const second_counts& counts, time_point now, seconds window);

/**
 * Whether this VM may send one more retry. The sum over all VMs keeps to @p bounds: the ratio applies to each VM's own
 * requests, the slack is divided by @p vms.
 * @param vms VMs that may exist at the same time, at least 1.
 */
bool mayRetryWithin(const retry_window& budget, const retry_bounds& bounds, std::uint32_t vms, time_point now);

/** Whether one more request may go to a cold endpoint: fewer than @p perSecond in the last second. */
bool mayWarm(cold_limit& limit, double perSecond, time_point now);

/** Divides descriptors and memory. All parts together stay within both, whatever callers do. Thread safe. */
serve_room roomFor(std::uint32_t descriptors, std::uint32_t memoryMb);

} // namespace lhub
