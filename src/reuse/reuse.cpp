/** @file reuse.cpp For how long a kept connection to an endpoint may rest before it is used again. */
#include "reuse/reuse_func.h"

#include <algorithm>

namespace lhub {

/** For requests that may run only once: endpoints usually close connections that have rested for several seconds. */
static constexpr milliseconds OnceRest { 1000 };
/** Part of the shortest rest that proved too long that counts as safe: timers of the peers differ. */
static constexpr int SafeDivisor = 2;
/** How long such evidence counts. Trying again costs one retry at each VM. */
static constexpr milliseconds EvidenceLife { 10'000 };

/** An answer within this time shows that the endpoint lived when its connection ended; a restart takes longer. */
static constexpr milliseconds AliveWithin { 1500 };

void noteForgotten(reuse_belief& belief, const std::string& address, milliseconds rest, time_point now)
{
    const auto [found, added] = belief.suspicions.try_emplace(address, rest_suspicion { rest, now });
    if (!added)
        found->second = { std::min(rest, found->second.rested), now };
}

void noteAlive(reuse_belief& belief, const std::string& address, time_point now)
{
    const auto found = belief.suspicions.find(address);
    if (found == belief.suspicions.end())
        return;
    const auto suspicion = found->second;
    belief.suspicions.erase(found);
    if (now - suspicion.at > AliveWithin)
        return;
    const auto rest = suspicion.rested;
    const bool old = now - belief.learnedAt > EvidenceLife;
    belief.shortestLost = old ? rest : std::min(belief.shortestLost, rest);
    belief.learnedAt = now;
}

milliseconds longestRest(const reuse_belief& belief, bool repeatable, time_point now)
{
    const bool known = belief.shortestLost != milliseconds::max() && now - belief.learnedAt <= EvidenceLife;
    const auto learned = known ? belief.shortestLost / SafeDivisor : milliseconds::max();
    return repeatable ? learned : std::min(learned, OnceRest);
}

} // namespace lhub
