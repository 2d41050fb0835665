/** @file pool_health.cpp Health of endpoints by the results of probes and requests; ejection of failing ones. */
#include "pool/pool_func.h"

#include <algorithm>

namespace lhub {

/** Whether one more endpoint may be ejected within maxEjectedPercent. */
static bool mayEject(const pool_state& pool, time_point now)
{
    constexpr std::size_t WholePercent = 100;
    std::size_t ejected = 0;
    for (const auto& [name, endpoint] : pool.endpoints)
        ejected += now < endpoint.ejectedUntil ? 1 : 0;
    return (ejected + 1) * WholePercent <= pool.endpoints.size() * pool.limits.maxEjectedPercent;
}

void recordEndpointResult(
    pool_state& pool, const std::string& endpoint, bool failed, const std::string& source, time_point now)
{
    const auto found = pool.endpoints.find(endpoint);
    if (found == pool.endpoints.end())
        return;
    auto& state = found->second;
    if (!failed) {
        state.consecutiveFailures = 0;
        state.failureSources.clear();
        return;
    }
    ++state.consecutiveFailures;
    state.failureSources.insert(source);
    constexpr std::size_t MinSources = 2;
    if (state.consecutiveFailures < pool.limits.failuresToEject || state.failureSources.size() < MinSources)
        return;
    if (now < state.ejectedUntil || !mayEject(pool, now))
        return;
    state.ejectedUntil = now + pool.limits.ejectionTime;
    state.cold = true;
    state.consecutiveFailures = 0;
    state.failureSources.clear();
}

void recordProbe(pool_state& pool, const std::string& endpoint, bool leaving, std::uint32_t inflight, time_point now)
{
    const auto found = pool.endpoints.find(endpoint);
    if (found == pool.endpoints.end())
        return;
    auto& state = found->second;
    if (state.leaving && !leaving)
        state.cold = true;
    state.leaving = leaving;
    const auto unexplained = inflight > state.inflight ? inflight - state.inflight : 0;
    state.unaccounted = std::min(state.unaccounted, unexplained);
    recordEndpointResult(pool, endpoint, false, "probe", now);
}

void assumeWarm(pool_state& pool, time_point now)
{
    for (auto& [name, endpoint] : pool.endpoints) {
        if (now < endpoint.configuredAt + pool.limits.warmUpTime)
            continue;
        endpoint.cold = false;
        endpoint.warmUpStart = endpoint.configuredAt;
    }
}

void markFreeSlotsUnaccounted(pool_state& pool, time_point now)
{
    for (auto& [name, endpoint] : pool.endpoints) {
        endpoint.unaccounted = endpoint.slots - std::min(endpoint.slots, endpoint.inflight);
        endpoint.unaccountedUntil = now + pool.maxRequestLifetime + pool.limits.expiryGrace;
    }
}

} // namespace lhub
