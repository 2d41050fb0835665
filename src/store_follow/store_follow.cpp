/** @file store_follow.cpp Which entry VMs of a region watch the store, and which of them the other VMs follow. */
#include "store_follow/store_follow_func.h"

#include "core/hash.h"
#include "gossip/gossip_func.h"
#include <algorithm>

namespace lhub {

static constexpr std::string_view WatcherKey = "watches the store"; ///< Hashed into the rendezvous key of the watchers; must be equal on old and new VMs.

/** Time for the answer of a watch after its wait; a slow store takes some hundred milliseconds. */
static constexpr milliseconds AnswerTime { 800 };
/** Time from the end of a watch without an answer until its successor has brought a change and all VMs have it: a pause, a call on a new
 *  connection to another region, and the way to the followers. */
static constexpr milliseconds SpreadTime { 1200 };
/** Lower bound on the wait of a watch; limits the number of calls where the stability time of a deployment is short. */
static constexpr milliseconds MinWatchWait { 500 };
/** Wait of a watch while the store is lost; short, since this call may be lost as well. */
static constexpr milliseconds LostStoreWait { 100 };
/** Time for the answer of such a watch; longer than AnswerTime, so that a very slow store is found again. */
static constexpr milliseconds LostStoreAnswerTime { 1200 };

watch_times planWatch(milliseconds stabilityTime, bool storeLost)
{
    if (storeLost)
        return { LostStoreWait, LostStoreAnswerTime };
    return { std::max(MinWatchWait, stabilityTime - SpreadTime - AnswerTime), AnswerTime };
}

/** Ranks members by a rendezvous hash of @p key, weighted by their capacity; best first. */
static std::vector<const member_record*> rankMembers(std::uint64_t key, const std::vector<const member_record*>& members)
{
    std::vector<rendezvous_candidate> candidates;
    candidates.reserve(members.size());
    for (const auto* member : members)
        candidates.push_back({ member->vm, static_cast<double>(member->requestsPerSecond) });
    std::vector<const member_record*> result;
    result.reserve(members.size());
    for (const auto index : rendezvousOrder(key, candidates))
        result.push_back(members[index]);
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

follow_plan planFollow(const member_table& table, const gossip_settings& gossipSettings, const follow_settings& settings, time_point now)
{
    std::vector<const member_record*> reachingStore;
    std::vector<const member_record*> notReachingStore;
    for (const auto* member : aliveMembers(table, gossipSettings, now)) {
        if (isSameRegion(table, member->zone))
            (member->storeReachable ? reachingStore : notReachingStore).push_back(member);
    }
    auto watchers = rankMembers(stableHash(WatcherKey), reachingStore);
    for (const auto* member : rankMembers(stableHash(WatcherKey), notReachingStore))
        watchers.push_back(member);
    if (watchers.size() > settings.watchers)
        watchers.resize(settings.watchers);
    follow_plan plan;
    plan.storeOutage = reachingStore.empty();
    const bool isWatcher = std::any_of(watchers.begin(), watchers.end(), [&](const auto* member) { return member->vm == table.self; });
    plan.watchesStore = isWatcher || watchers.size() < settings.watchers;
    if (plan.watchesStore)
        return plan;
    // Hashing by the VM's own name spreads the followers over the watchers.
    for (const auto* member : rankMembers(stableHash(table.self), watchers)) {
        if (plan.sources.size() < settings.sources)
            plan.sources.push_back(member->ip);
    }
    return plan;
}

} // namespace lhub
