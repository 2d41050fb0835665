/** @file follow.cpp Which VMs watch the store, and whom the others follow. */
#include "follow/follow_func.h"

#include "core/hash.h"
#include "gossip/gossip_func.h"
#include <algorithm>

namespace lhub {

static constexpr std::string_view WatcherKey = "watches the store"; ///< Key of the rendezvous for watchers.

/** Claims in the order of a rendezvous for @p key, by what the VMs carry. */
static std::vector<const member_claim*> orderedFor(std::uint64_t key, const std::vector<const member_claim*>& claims)
{
    std::vector<rendezvous_candidate> candidates;
    candidates.reserve(claims.size());
    for (const auto* claim : claims)
        candidates.push_back({ claim->vm, static_cast<double>(claim->requestsPerSecond) });
    std::vector<const member_claim*> result;
    result.reserve(claims.size());
    for (const auto index : rendezvousOrder(key, candidates))
        result.push_back(claims[index]);
    return result;
}

bool isLagging(follow_lag& lag, std::uint64_t held, std::uint64_t known, milliseconds grace, time_point now)
{
    if (lag.revision != 0 && held >= lag.revision)
        lag = {};
    if (known <= held)
        return false;
    if (lag.revision == 0)
        lag = { now, known };
    return now - lag.since >= grace;
}

follow_plan planFollow(const member_table& table, const gossip_limits& gossip, const follow_limits& limits, time_point now)
{
    std::vector<const member_claim*> answered;
    std::vector<const member_claim*> lost;
    for (const auto* claim : aliveMembers(table, gossip, now)) {
        if (isSameRegion(table, claim->zone))
            (claim->storeAnswers ? answered : lost).push_back(claim);
    }
    auto watchers = orderedFor(stableHash(WatcherKey), answered);
    for (const auto* claim : orderedFor(stableHash(WatcherKey), lost))
        watchers.push_back(claim);
    if (watchers.size() > limits.watchers)
        watchers.resize(limits.watchers);
    follow_plan plan;
    plan.outage = answered.empty();
    const bool own = std::any_of(watchers.begin(), watchers.end(), [&](const auto* claim) { return claim->vm == table.self; });
    plan.watches = own || watchers.size() < limits.watchers;
    if (plan.watches)
        return plan;
    // Each VM follows others of the watchers than its neighbours do.
    for (const auto* claim : orderedFor(stableHash(table.self), watchers)) {
        if (plan.sources.size() < limits.sources)
            plan.sources.push_back(claim->ip);
    }
    return plan;
}

} // namespace lhub
