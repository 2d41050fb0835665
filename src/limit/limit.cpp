/** @file limit.cpp Limits that hold for all VMs together without communication between them. */
#include "limit/limit_func.h"

#include "core/hash.h"
#include <algorithm>
#include <cmath>

namespace lhub {

/** Part of the allowed ratio that each VM uses. The rest is a margin, since the windows of the VMs are not aligned. */
static constexpr double UsedRatioPart = 0.75;

/** Descriptors reserved for files, timers, listeners, the store and other VMs. */
static constexpr std::uint32_t ReservedDescriptors = 240;
/** Division of the remaining descriptors, in eighths. A request may use two connections to endpoints at the same time, so
 *  RequestEighths counts twice and the sum is 8. */
static constexpr std::uint32_t CallerEighths = 3;
static constexpr std::uint32_t IdleEighths = 1;
static constexpr std::uint32_t RequestEighths = 2;
/** Bodies of requests may take the memory divided by this number. */
static constexpr std::uint64_t BodyMemoryDivisor = 8;

static std::int64_t secondOf(time_point at)
{
    return std::chrono::duration_cast<seconds>(at.time_since_epoch()).count();
}

void countEvent(per_second_counts& counts, time_point now)
{
    const auto second = secondOf(now);
    const auto size = static_cast<std::int64_t>(per_second_counts::MaxWindowSeconds);
    for (auto at = std::max(counts.newestSecond + 1, second - size + 1); at <= second; ++at)
        counts.ring[static_cast<std::size_t>(at % size)] = 0;
    counts.newestSecond = std::max(counts.newestSecond, second);
    ++counts.ring[static_cast<std::size_t>(second % size)];
}

std::uint32_t eventsWithin(const per_second_counts& counts, time_point now, seconds window)
{
    const auto size = static_cast<std::int64_t>(per_second_counts::MaxWindowSeconds);
    const auto second = secondOf(now);
    const auto length = std::min<std::int64_t>(window.count(), size);
    std::uint32_t sum = 0;
    for (auto at = second - length + 1; at <= second; ++at) {
        if (at >= 0 && at <= counts.newestSecond && at > counts.newestSecond - size)
            sum += counts.ring[static_cast<std::size_t>(at % size)];
    }
    return sum;
}

bool mayRetryWithin(const retry_counts& counts, const retry_bounds& bounds, std::uint32_t vms, time_point now)
{
    const auto requests = eventsWithin(counts.requests, now, bounds.window);
    // One second more than the window: a window that ends within the current second also covers a part of that second.
    const auto extraAttempts = eventsWithin(counts.extraAttempts, now, bounds.window + seconds(1));
    const double allowed = UsedRatioPart * bounds.ratio * requests + bounds.slack / std::max(1U, vms);
    return extraAttempts + 1 <= allowed;
}

resource_limits resourceLimitsFor(std::uint32_t descriptors, std::uint32_t memoryMb)
{
    const std::size_t eighth = (std::max(descriptors, 2 * ReservedDescriptors) - ReservedDescriptors) / 8;
    static constexpr std::uint64_t Megabyte = 1'048'576;
    return { CallerEighths * eighth, IdleEighths * eighth, RequestEighths * eighth, memoryMb * Megabyte / BodyMemoryDivisor };
}

std::size_t dispatchesWithin(recent_dispatches& dispatches, milliseconds window, time_point now)
{
    while (!dispatches.sentTimes.empty() && now - dispatches.sentTimes.front() >= window)
        dispatches.sentTimes.pop_front();
    return dispatches.sentTimes.size();
}

std::uint32_t quotaOf(const quota_share& share, std::uint32_t total, std::uint64_t seed)
{
    if (share.all <= 0)
        return 0;
    // Systematic sampling: the VMs' weights lie side by side on a line, and each VM gets the points with a distance of 1 in its part.
    constexpr double HashRange = 18446744073709551616.0; // 2^64
    const double offset = static_cast<double>(stableHash("quota", seed)) / HashRange;
    const double scale = total / share.all;
    return static_cast<std::uint32_t>(std::floor(offset + scale * (share.before + share.own)) - std::floor(offset + scale * share.before));
}

bool maySendToCold(recent_dispatches& dispatches, double perSecond, time_point now)
{
    return static_cast<double>(dispatchesWithin(dispatches, seconds(1), now)) + 1 <= perSecond;
}

} // namespace lhub
