/** @file pool_health.cpp What probes and attempts say of endpoints, and what follows. */
#include "pool/pool_func.h"

#include <algorithm>

namespace lhub {

/** Whether one more endpoint may be ejected without going below the floor of those that serve. */
static bool mayEject(const pool_state& pool, time_point now)
{
    constexpr std::size_t WholePercent = 100;
    std::size_t ejected = 0;
    for (const auto& [name, endpoint] : pool.endpoints)
        ejected += now < endpoint.ejectedUntil ? 1 : 0;
    return (ejected + 1) * WholePercent <= pool.endpoints.size() * pool.limits.ejectedPercent;
}

void noteEndpointResult(
    pool_state& pool, const std::string& endpoint, bool failed, const std::string& source, time_point now)
{
    const auto found = pool.endpoints.find(endpoint);
    if (found == pool.endpoints.end())
        return;
    auto& seen = found->second;
    if (!failed) {
        seen.failures = 0;
        seen.failureSources.clear();
        return;
    }
    ++seen.failures;
    seen.failureSources.insert(source);
    constexpr std::size_t FewestSources = 2;
    if (seen.failures < pool.limits.failuresToEject || seen.failureSources.size() < FewestSources)
        return;
    if (now < seen.ejectedUntil || !mayEject(pool, now))
        return;
    seen.ejectedUntil = now + pool.limits.ejectionTime;
    seen.cold = true;
    seen.failures = 0;
    seen.failureSources.clear();
}

void noteProbe(pool_state& pool, const std::string& endpoint, bool leaving, std::uint32_t inflight, time_point now)
{
    const auto found = pool.endpoints.find(endpoint);
    if (found == pool.endpoints.end())
        return;
    auto& seen = found->second;
    if (seen.leaving && !leaving)
        seen.cold = true;
    seen.leaving = leaving;
    const auto unaccounted = inflight > seen.inflight ? inflight - seen.inflight : 0;
    seen.unknown = std::min(seen.unknown, unaccounted);
    noteEndpointResult(pool, endpoint, false, "probe", now);
}

void assumeWarm(pool_state& pool, time_point now)
{
    for (auto& [name, endpoint] : pool.endpoints) {
        if (now < endpoint.appeared + pool.limits.warmUp)
            continue;
        endpoint.cold = false;
        endpoint.warmFrom = endpoint.appeared;
    }
}

void distrustFreeSlots(pool_state& pool, time_point now)
{
    for (auto& [name, endpoint] : pool.endpoints) {
        endpoint.unknown = endpoint.slots - std::min(endpoint.slots, endpoint.inflight);
        endpoint.unknownUntil = now + pool.longestLife + pool.limits.lapseGuard;
    }
}

} // namespace lhub
