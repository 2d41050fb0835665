/** @file caller_return.cpp Recognizes requests whose callers came back after a refusal, by the time that they still have. */
#include "admission/caller_return_func.h"

#include <algorithm>

namespace lhub {

/** Smallest number of time-outs from which the usual one is derived. */
static constexpr std::size_t MinSamples = 5;
/** Time-outs that differ by less than this part are the same. */
static constexpr double Tolerance = 0.02;

static bool isSame(milliseconds one, milliseconds other)
{
    const auto difference = std::abs(static_cast<double>((one - other).count()));
    return difference <= Tolerance * static_cast<double>(other.count());
}

void recordCallerTimeout(caller_timeouts& timeouts, milliseconds timeout)
{
    timeouts.samples[timeouts.count++ % caller_timeouts::MaxSamples] = timeout;
    const auto size = std::min(timeouts.count, caller_timeouts::MaxSamples);
    timeouts.usual = milliseconds(0);
    if (size < MinSamples)
        return;
    // The longest time-out that at least a quarter of the requests carry: those of returning callers are shorter and differ.
    auto sorted = timeouts.samples;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(size);
    std::sort(sorted.begin(), end, std::greater<>());
    for (auto at = sorted.begin(); at != end; ++at) {
        const auto same = static_cast<std::size_t>(std::count_if(at, end, [&](milliseconds other) { return isSame(other, *at); }));
        if (same * 4 >= size) {
            timeouts.usual = *at;
            return;
        }
    }
}

milliseconds spentBefore(const caller_timeouts& timeouts, milliseconds timeout)
{
    if (timeouts.usual.count() == 0 || timeout.count() <= 0 || timeout >= timeouts.usual || isSame(timeout, timeouts.usual))
        return milliseconds(0);
    return timeouts.usual - timeout;
}

} // namespace lhub
