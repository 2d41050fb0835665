/** @file limit.cpp Limits that hold over all VMs together without any agreement between them. */
#include "limit/limit_func.h"

#include <algorithm>

namespace lhub {

/** Part of the allowed ratio that is used: windows of the VMs are not aligned. */
static constexpr double RatioUsed = 0.75;

/** Descriptors for files, timers, listeners, the store and other VMs. */
static constexpr std::uint32_t ReservedDescriptors = 240;
/** Eighths of the other descriptors, by use; requests get two of the connections to endpoints each. */
static constexpr std::uint32_t CallerEighths = 3;
static constexpr std::uint32_t IdleEighths = 1;
static constexpr std::uint32_t RequestEighths = 2;
/** Part of the memory that bodies of requests may take: they are copied once on their way. */
static constexpr std::uint64_t BodyDivisor = 8;

static std::int64_t secondOf(time_point at)
{
    return std::chrono::duration_cast<seconds>(at.time_since_epoch()).count();
}

void countEvent(second_counts& counts, time_point now)
{
    const auto second = secondOf(now);
    const auto size = static_cast<std::int64_t>(second_counts::Seconds);
    for (auto at = std::max(counts.newest + 1, second - size + 1); at <= second; ++at)
        counts.counts[static_cast<std::size_t>(at % size)] = 0;
    counts.newest = std::max(counts.newest, second);
    ++counts.counts[static_cast<std::size_t>(second % size)];
}

std::uint32_t eventsWithin(const second_counts& counts, time_point now, seconds window)
{
    const auto size = static_cast<std::int64_t>(second_counts::Seconds);
    const auto second = secondOf(now);
    const auto length = std::min<std::int64_t>(window.count(), size);
    std::uint32_t sum = 0;
    for (auto at = second - length + 1; at <= second; ++at) {
        if (at >= 0 && at <= counts.newest && at > counts.newest - size)
            sum += counts.counts[static_cast<std::size_t>(at % size)];
    }
    return sum;
}

bool mayRetryWithin(const retry_window& budget, const retry_bounds& bounds, std::uint32_t vms, time_point now)
{
    const auto requests = eventsWithin(budget.requests, now, bounds.window);
    // The count of extras covers one second more, so that it includes every window that ends now.
    const auto extras = eventsWithin(budget.extras, now, bounds.window + seconds(1));
    const double allowed = RatioUsed * bounds.ratio * requests + bounds.slack / std::max(1U, vms);
    return extras + 1 <= allowed;
}

serve_room roomFor(std::uint32_t descriptors, std::uint32_t memoryMb)
{
    const std::size_t eighth = (std::max(descriptors, 2 * ReservedDescriptors) - ReservedDescriptors) / 8;
    static constexpr std::uint64_t Megabyte = 1'048'576;
    return { CallerEighths * eighth, IdleEighths * eighth, RequestEighths * eighth, memoryMb * Megabyte / BodyDivisor };
}

bool mayWarm(cold_limit& limit, double perSecond, time_point now)
{
    while (!limit.sent.empty() && now - limit.sent.front() >= seconds(1))
        limit.sent.pop_front();
    return static_cast<double>(limit.sent.size()) + 1 <= perSecond;
}

} // namespace lhub
