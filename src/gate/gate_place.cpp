/** @file gate_place.cpp What placement is told of endpoints and of a request. */
#include "gate/gate_internal.h"

#include "gossip/gossip_func.h"
#include "health/health_func.h"
#include "limit/limit_func.h"
#include "place/place_func.h"
#include <algorithm>

namespace lhub {

/** Time constant of reports: after it they count for nothing. */
static constexpr milliseconds ReportLife { 1000 };
/** Until the first answer: warm work as a part of the objective. */
static constexpr double FirstWarmPart = 0.35;
/** Until the first answer: cold work as a part of the objective. */
static constexpr double FirstColdPart = 0.9;
/** What was judged of the view of other VMs is used again for so long: less than a round of gossip, and too short to outlast a pause. */
static constexpr milliseconds ViewLife { 200 };
/** Requests in a thousand that load may move between regions, in any two seconds. */
static constexpr std::uint32_t MovedPermille = 80;

/** Load of an endpoint: own attempts, and the others' by its last report, fading. */
static double loadOf(const endpoint_state& endpoint, time_point now)
{
    const double age = msOf(now - endpoint.reportedAt) / static_cast<double>(ReportLife.count());
    return endpoint.inFlight + endpoint.othersLoad * std::max(0.0, 1 - age);
}

route_times timesOf(const gate_state& gate, const route& rules)
{
    const auto found = gate.times.find(rules.name);
    auto times = found == gate.times.end() ? route_times {} : found->second;
    const auto objective = static_cast<double>(rules.objective.count());
    if (times.warmMs <= 0)
        times.warmMs = FirstWarmPart * objective;
    if (times.coldMs <= 0)
        times.coldMs = std::max(FirstColdPart * objective, times.warmMs);
    return times;
}

static bool isAllowedRegion(const route& rules, const std::string& region)
{
    return rules.regions.empty()
        || std::find(rules.regions.begin(), rules.regions.end(), region) != rules.regions.end();
}

static bool wasTried(const gate_request& request, const std::string& endpoint)
{
    return std::any_of(request.attempts.begin(), request.attempts.end(),
        [&](const attempt_state& attempt) { return attempt.endpoint == endpoint; });
}

/** Whether all attempts there ended on kept connections that were gone, so that nothing is known against it. */
static bool wasForgotten(const gate_request& request, const std::string& endpoint)
{
    return std::all_of(request.attempts.begin(), request.attempts.end(),
        [&](const attempt_state& attempt) { return attempt.endpoint != endpoint || attempt.forgotten; });
}

const view_trust& trustNow(gate_state& gate, time_point now)
{
    if (now - gate.trustAt > ViewLife) {
        gate.trust = trustOf(gate.members, gate.gossip, now);
        gate.trustAt = now;
    }
    return gate.trust;
}

/** Whether an endpoint may get a request now, for all that this VM knows. */
static bool isUsable(gate_state& gate, endpoint_state& endpoint, time_point now)
{
    if (endpoint.health.onTrial && endpoint.inFlight > 0)
        return false;
    if (!isCold(gate, endpoint, now))
        return true;
    const auto rules = rulesOf(gate, endpoint.entry.service);
    const double perSecond = (rules.coldPerSecond * gate.self.coldOverage + gate.self.coldSlack) / ColdOwnersAtOnce * trustNow(gate, now).regionPart;
    if (!mayWarm(endpoint.warming, perSecond, now))
        return false;
    if (now - endpoint.ownedAt > ViewLife) {
        endpoint.owned = ownsColdEndpoint(gate, endpoint, now);
        endpoint.ownedAt = now;
    }
    return endpoint.owned;
}

candidate_list candidatesFor(gate_state& gate, const gate_request& request, time_point now)
{
    candidate_list list;
    std::size_t total = 0;
    std::size_t ejected = 0;
    for (auto& [id, endpoint] : gate.endpoints) {
        const bool fits = endpoint.entry.service == request.service && !endpoint.entry.leaving
            && gate.evacuated.count(endpoint.entry.zone) == 0 && isAllowedRegion(*request.rules, endpoint.region);
        if (!fits)
            continue;
        ++total;
        const bool out = isEjected(endpoint.health, now);
        ejected += out ? 1 : 0;
        const auto& keys = endpoint.recentKeys;
        list.candidates.push_back({ endpoint.entry.id, endpoint.region, static_cast<double>(endpoint.entry.slots),
            loadOf(endpoint, now), slownessAt(endpoint.health, now), !out && !wasTried(request, id) && isUsable(gate, endpoint, now),
            std::find(keys.begin(), keys.end(), request.key) != keys.end() });
        list.endpoints.push_back(&endpoint);
    }
    // More than half out: the evidence speaks of something common, not of endpoints.
    for (std::size_t i = 0; ejected * 2 > total && i < list.candidates.size(); ++i) {
        auto& endpoint = *list.endpoints[i];
        if (isEjected(endpoint.health, now) && !wasTried(request, endpoint.entry.id))
            list.candidates[i].usable = !isCold(gate, endpoint, now) || isUsable(gate, endpoint, now);
    }
    const bool none = std::none_of(list.candidates.begin(), list.candidates.end(), [](const auto& candidate) { return candidate.usable; });
    for (std::size_t i = 0; none && i < list.candidates.size(); ++i) {
        auto& endpoint = *list.endpoints[i];
        list.candidates[i].usable = wasTried(request, endpoint.entry.id) && wasForgotten(request, endpoint.entry.id) && isUsable(gate, endpoint, now);
    }
    return list;
}

/** Whether load may still move a request to another region without a sudden change of the region's share. */
static bool mayMoveRegion(const gate_state& gate, time_point now)
{
    const auto placed = eventsWithin(gate.placed, now, seconds(2));
    return (eventsWithin(gate.moved, now, seconds(2)) + 1) * 1000 <= placed * MovedPermille;
}

std::optional<place_choice> placeFor(
    gate_state& gate, const gate_request& request, const candidate_list& list, time_point now)
{
    const auto times = timesOf(gate, *request.rules);
    place_question question;
    question.key = request.key;
    question.region = gate.self.region;
    question.budgetMs = std::max(0.0, msOf(request.arrived + request.rules->objective - now));
    question.times = { times.warmMs, times.coldMs, FarMs };
    question.mayMove = mayMoveRegion(gate, now);
    return placeRequest(question, list.candidates);
}

} // namespace lhub
