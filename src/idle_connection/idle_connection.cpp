/** @file idle_connection.cpp For how long a connection to an endpoint may be idle and still be reused. */
#include "idle_connection/idle_connection_func.h"

#include <algorithm>

namespace lhub {

/** Longest idle time for requests that are not repeatable: endpoints usually close connections that were idle for several seconds. */
static constexpr milliseconds MaxIdleNotRepeatable { 1000 };
/** Connections are reused after at most the shortest stale idle time divided by this, since the timers of endpoints differ. */
static constexpr int SafeIdleDivisor = 2;
/** For how long a stale connection limits the idle time. Afterwards longer idle times are tried again, at the cost of one retry
 *  at each VM. */
static constexpr milliseconds EvidenceLifetime { 10'000 };

/** A response within this time shows that the endpoint was running when its connection ended; a restart takes longer. */
static constexpr milliseconds RunningEvidenceWindow { 1500 };

void recordStaleConnection(idle_connection_state& estimate, const std::string& address, milliseconds idleFor, time_point now)
{
    const auto [found, added] = estimate.suspected.try_emplace(address, suspected_stale_connection { idleFor, now });
    if (!added)
        found->second = { std::min(idleFor, found->second.idleFor), now };
}

void recordLiveConnection(idle_connection_state& estimate, const std::string& address, time_point now)
{
    const auto found = estimate.suspected.find(address);
    if (found == estimate.suspected.end())
        return;
    const auto connection = found->second;
    estimate.suspected.erase(found);
    if (now - connection.endedAt > RunningEvidenceWindow)
        return;
    const auto idleFor = connection.idleFor;
    const bool expired = now - estimate.staleSeenAt > EvidenceLifetime;
    estimate.shortestStale = expired ? idleFor : std::min(estimate.shortestStale, idleFor);
    estimate.staleSeenAt = now;
}

milliseconds maxIdleTime(const idle_connection_state& estimate, bool repeatable, time_point now)
{
    const bool known = estimate.shortestStale != milliseconds::max() && now - estimate.staleSeenAt <= EvidenceLifetime;
    const auto learned = known ? estimate.shortestStale / SafeIdleDivisor : milliseconds::max();
    return repeatable ? learned : std::min(learned, MaxIdleNotRepeatable);
}

} // namespace lhub
