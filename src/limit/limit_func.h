/** @file limit_func.h Limits that hold for all VMs together without communication between them. */
#pragma once

#include "limit/limit_type.h"

namespace lhub {

/** Counts one event. Not thread safe. */
void countEvent(per_second_counts& counts, time_point now);

/** Events in the @p window that ends now; whole seconds, the current one included. Thread safe on a const object. */
std::uint32_t eventsWithin(const per_second_counts& counts, time_point now, seconds window);

/**
 * Whether this VM may send one more retry. All VMs together then stay within @p bounds: the ratio applies to each VM's own
 * requests, the slack is divided by @p vms. Thread safe on const objects.
 * @param vms upper bound on the number of VMs that run at the same time, at least 1.
 */
bool mayRetryWithin(const retry_counts& counts, const retry_bounds& bounds, std::uint32_t vms, time_point now);

/** Requests that were sent within the @p window that ends now. Removes older entries from @p dispatches. Not thread safe. */
std::size_t dispatchesWithin(recent_dispatches& dispatches, milliseconds window, time_point now);

/**
 * The part of this VM in a number of requests that all VMs together may send. The parts of all VMs add up to @p total, although each
 * VM computes only its own; a total smaller than the number of VMs goes to some of them. VMs whose shares follow from different lists of
 * VMs differ by little. Thread safe.
 * @param seed differs between endpoints, so that small totals go to different VMs.
 */
std::uint32_t quotaOf(const quota_share& share, std::uint32_t total, std::uint64_t seed);

/** Whether one more request may go to a cold endpoint without exceeding @p perSecond requests in the last second. Removes
 *  older entries from @p dispatches. Not thread safe. */
bool maySendToCold(recent_dispatches& dispatches, double perSecond, time_point now);

/**
 * Divides the VM's descriptors and memory between their uses, so that all uses together stay within both, whatever callers
 * do. Thread safe.
 * @param memoryMb memory of the VM in megabytes of 2^20 bytes.
 */
resource_limits resourceLimitsFor(std::uint32_t descriptors, std::uint32_t memoryMb);

} // namespace lhub
