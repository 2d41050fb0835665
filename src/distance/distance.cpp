/** @file distance.cpp Network round trips from this VM to the endpoints of each region, learned from connects. */
#include "distance/distance_func.h"

#include <algorithm>

namespace lhub {

/** Round trip to another region before the first connect. */
static constexpr double AssumedRoundTripMs = 110;
/** Weight of a connect that was faster or slower than the estimate. A slow one may have waited at the endpoint or lost a packet. */
static constexpr double FasterGain = 0.3;
static constexpr double SlowerGain = 0.05;
/** Growth of the estimate when a connect timed out; an endpoint that is down must not raise it far. */
static constexpr double TimeoutGrowth = 1.1;
/** Timeout of a connect in round trips, and its addition for jitter. */
static constexpr double TimeoutRoundTrips = 2;
static constexpr milliseconds ConnectJitter { 130 };
static constexpr milliseconds MinConnectTimeout { 150 };
/** Callers allow one second for a connection; an endpoint is not worth more. Also used before the first connect to another region. */
static constexpr milliseconds MaxConnectTimeout { 1000 };

void recordConnect(region_distances& distances, const std::string& region, time_point::duration took)
{
    const double tookMs = std::chrono::duration<double, std::milli>(took).count();
    const auto [found, added] = distances.roundTripMs.try_emplace(region, tookMs);
    if (!added)
        found->second += (tookMs - found->second) * (tookMs < found->second ? FasterGain : SlowerGain);
}

void recordConnectTimeout(region_distances& distances, const std::string& region)
{
    const auto found = distances.roundTripMs.find(region);
    if (found != distances.roundTripMs.end())
        found->second = std::min(found->second * TimeoutGrowth, static_cast<double>(MaxConnectTimeout.count()));
}

double roundTripTo(const region_distances& distances, std::string_view region)
{
    const auto found = distances.roundTripMs.find(region);
    if (found != distances.roundTripMs.end())
        return found->second;
    return region == distances.ownRegion ? 0 : AssumedRoundTripMs;
}

milliseconds connectTimeoutTo(const region_distances& distances, std::string_view region)
{
    if (region != distances.ownRegion && distances.roundTripMs.find(region) == distances.roundTripMs.end())
        return MaxConnectTimeout;
    const auto timeout = milliseconds(static_cast<std::int64_t>(TimeoutRoundTrips * roundTripTo(distances, region))) + ConnectJitter;
    return std::clamp(timeout, MinConnectTimeout, MaxConnectTimeout);
}

} // namespace lhub
