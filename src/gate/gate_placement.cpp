/** @file gate_placement.cpp Prepares the input of placement: candidates, expected times and limits. */
#include "gate/gate_internal.h"

#include "core/hash.h"
#include "distance/distance_func.h"
#include "gossip/gossip_func.h"
#include "health/health_func.h"
#include "limit/limit_func.h"
#include "pace/pace_func.h"
#include "placement/placement_func.h"
#include "self_report/self_report_func.h"
#include <algorithm>

namespace lhub {

/** Age at which the load that an endpoint reported is ignored; its weight falls linearly until then. */
static constexpr milliseconds LoadReportLifetime { 1000 };
/** Longest queue of an endpoint, in multiples of its slots, that counts for the mean load of its region: one endpoint in trouble says little about the others. */
static constexpr double MaxCountedLoad = 2;
/** Slots that must have reported lately for their mean load to count in full for the other endpoints of a region. */
static constexpr double MinReportedSlots = 4;
/** Expected time of a request for a cached object until one was measured, as a fraction of the route's objective. */
static constexpr double InitialCachedPart = 0.35;
/** The same for an object that is not cached. */
static constexpr double InitialUncachedPart = 0.9;
/** For how long results that depend on the membership view are cached: less than a round of gossip, and too short to be used
 *  after a pause of the process. */
static constexpr milliseconds ViewCacheTime { 200 };
/** Most bytes of request bodies that this VM has in flight to one endpoint: an endpoint that holds more than its memory crashes. */
static constexpr std::uint64_t MaxEndpointBodyBytes = 8'388'608;
/** Maximum number of requests in a thousand, over the last two seconds, that are moved to other regions because of load. */
static constexpr std::uint32_t MaxMovedPermille = 80;

/** Load of a region's endpoints as far as it was reported lately. */
struct region_load {
    double load = 0; ///< Requests in process and queued, weighted by the age of the reports.
    double slots = 0; ///< Slots of the endpoints that reported, weighted likewise.
};

double reportWeight(const endpoint_state& endpoint, time_point now)
{
    const double relativeAge = toMilliseconds(now - endpoint.loadReportedAt) / static_cast<double>(LoadReportLifetime.count());
    return std::max(0.0, 1 - relativeAge);
}

route_times expectedTimes(const gate_state& gate, const route& route)
{
    const auto found = gate.routeTimes.find(route.name);
    auto times = found == gate.routeTimes.end() ? route_times {} : found->second;
    const auto objectiveMs = static_cast<double>(route.objective.count());
    if (times.cachedMs <= 0)
        times.cachedMs = InitialCachedPart * objectiveMs;
    if (times.uncachedMs <= 0)
        times.uncachedMs = std::max(InitialUncachedPart * objectiveMs, times.cachedMs);
    return times;
}

/** Whether a list of regions contains a region; an empty one allows all. */
static bool allows(const std::vector<std::string>& regions, const std::string& region)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

static bool isAllowedRegion(const gate_request& request, const std::string& region)
{
    return allows(request.matchedRoute->regions, region) && (!request.customer || allows(request.customer->regions, region));
}

static bool wasTried(const gate_request& request, const std::string& endpoint)
{
    return std::any_of(request.attempts.begin(), request.attempts.end(),
        [&](const attempt_state& attempt) { return attempt.endpoint == endpoint; });
}

/** Whether all attempts of the request at the endpoint failed on stale connections, which say nothing about the endpoint. */
static bool failedOnlyOnStaleConnections(const gate_request& request, const std::string& endpoint)
{
    return std::all_of(request.attempts.begin(), request.attempts.end(),
        [&](const attempt_state& attempt) { return attempt.endpoint != endpoint || attempt.staleConnection; });
}

const view_trust& currentTrust(gate_state& gate, time_point now)
{
    if (now - gate.trustComputedAt > ViewCacheTime) {
        gate.trust = trustOf(gate.members, gate.gossip, now);
        gate.trustComputedAt = now;
    }
    return gate.trust;
}

/** Whether the endpoint takes a request of this VM now, by what it has said about itself: it has not asked for a pause, and its limit is not reached. */
static bool takesRequests(gate_state& gate, const endpoint_state& endpoint, time_point now)
{
    if (isPaused(gate, endpoint, now))
        return false;
    auto* limited = limitedState(gate.selfReports, endpoint.entry.id, endpoint.entry.startUnixMs);
    if (!limited)
        return true;
    return maySendWithinLimit(*limited, limitQuota(gate, endpoint, *limited->requestsPerSecond, now), currentTrust(gate, now).recentMembers, now);
}

/** Whether the endpoint may get the body of a request beside those that this VM has sent to it already. A body above the limit is sent alone. */
static bool hasRoomForBody(const gate_request& request, const endpoint_state& endpoint)
{
    return request.bodyBytes == 0 || endpoint.bodyBytesInFlight == 0 || endpoint.bodyBytesInFlight + request.bodyBytes <= MaxEndpointBodyBytes;
}

/** Whether an endpoint that is not ejected may get a request now. After an ejection it gets one attempt at a time until one
 *  succeeds; while it is cold it gets requests from one VM only, at a limited rate. */
static bool isUsable(gate_state& gate, endpoint_state& endpoint, time_point now)
{
    if (!takesRequests(gate, endpoint, now) || (endpoint.health.onTrial && endpoint.inFlight > 0))
        return false;
    if (!isCold(gate, endpoint, now))
        return true;
    const auto rules = serviceRulesOf(gate, endpoint.entry.service);
    const double maxPerSecond = (rules.coldRequestsPerSecond * gate.self.coldOverage + gate.self.coldSlack) / MaxConcurrentColdOwners * currentTrust(gate, now).aliveRegionFraction;
    const auto* pace = currentPace(gate, endpoint, now);
    const double perSecond = pace ? coldRateAt(levelAt(*pace, now), maxPerSecond) : maxPerSecond;
    if (!maySendToCold(endpoint.coldDispatches, perSecond, now))
        return false;
    if (now - endpoint.coldOwnerCheckedAt > ViewCacheTime) {
        endpoint.coldOwner = ownsColdEndpoint(gate, endpoint, now);
        endpoint.coldOwnerCheckedAt = now;
    }
    return endpoint.coldOwner;
}

/** The level of an endpoint that has started or recovered, if its pace leaves the object to the next endpoint in the object's order. */
static std::optional<double> heldBackLevel(gate_state& gate, endpoint_state& endpoint, std::uint64_t object, time_point now)
{
    const auto* pace = currentPace(gate, endpoint, now);
    const double level = pace && !pace->cold ? levelAt(*pace, now) : 1;
    return isWithinLevel(object, endpoint.entry.id, level) ? std::nullopt : std::optional(level);
}

candidate_list candidatesFor(gate_state& gate, const gate_request& request, time_point now)
{
    candidate_list list;
    std::size_t total = 0;
    std::size_t ejected = 0;
    for (auto& [id, endpoint] : gate.endpoints) {
        const bool matches = endpoint.entry.service == request.service && !isLeaving(gate, endpoint)
            && gate.evacuatedZones.count(endpoint.entry.zone) == 0 && isAllowedRegion(request, endpoint.region);
        if (!matches)
            continue;
        ++total;
        const bool ejectedNow = isEjected(endpoint.health, now);
        ejected += ejectedNow ? 1 : 0;
        const bool mayGet = !ejectedNow && !wasTried(request, id) && isUsable(gate, endpoint, now);
        const auto heldBack = mayGet ? heldBackLevel(gate, endpoint, request.key, now) : std::nullopt;
        if (heldBack)
            list.heldBack.emplace_back(list.candidates.size(), *heldBack);
        const auto& keys = endpoint.recentKeys;
        list.candidates.push_back({ endpoint.entry.id, endpoint.region, static_cast<double>(endpoint.entry.slots),
            endpoint.inFlight + endpoint.otherVmsLoad * reportWeight(endpoint, now), slownessAt(endpoint.health, now), mayGet && !heldBack,
            std::find(keys.begin(), keys.end(), request.key) != keys.end(), roundTripTo(gate.distances, endpoint.region), workFactorAt(endpoint.health, now) });
        list.endpoints.push_back(&endpoint);
    }
    // An endpoint without a recent report is assumed to have the mean load of those of its region that have one.
    std::map<std::string_view, region_load> reportedByRegion;
    for (const auto* endpoint : list.endpoints) {
        auto& reported = reportedByRegion[endpoint->region];
        const double weight = reportWeight(*endpoint, now);
        reported.load += weight * std::min(endpoint->otherVmsLoad, MaxCountedLoad * endpoint->entry.slots);
        reported.slots += weight * endpoint->entry.slots;
    }
    for (std::size_t i = 0; i < list.candidates.size(); ++i) {
        const auto& endpoint = *list.endpoints[i];
        const auto& reported = reportedByRegion[endpoint.region];
        list.candidates[i].load += (1 - reportWeight(endpoint, now)) * reported.load / std::max(reported.slots, MinReportedSlots) * endpoint.entry.slots;
    }
    // When more than half of the endpoints are ejected, a common cause such as the network is more likely: ejections are ignored.
    for (std::size_t i = 0; ejected * 2 > total && i < list.candidates.size(); ++i) {
        auto& endpoint = *list.endpoints[i];
        if (isEjected(endpoint.health, now) && !wasTried(request, endpoint.entry.id) && takesRequests(gate, endpoint, now))
            list.candidates[i].usable = !isCold(gate, endpoint, now) || isUsable(gate, endpoint, now);
    }
    // A pace alone refuses nothing.
    const auto isCandidateUsable = [](const place_candidate& candidate) { return candidate.usable; };
    if (std::none_of(list.candidates.begin(), list.candidates.end(), isCandidateUsable)) {
        for (const auto& [index, level] : list.heldBack)
            list.candidates[index].usable = true;
        list.heldBack.clear();
    }
    // Without any other endpoint, the request may return to one where it failed only on stale connections.
    const bool noneUsable = std::none_of(list.candidates.begin(), list.candidates.end(), isCandidateUsable);
    for (std::size_t i = 0; noneUsable && i < list.candidates.size(); ++i) {
        auto& endpoint = *list.endpoints[i];
        list.candidates[i].usable = wasTried(request, endpoint.entry.id) && failedOnlyOnStaleConnections(request, endpoint.entry.id) && isUsable(gate, endpoint, now);
    }
    for (std::size_t i = 0; i < list.candidates.size(); ++i)
        list.candidates[i].usable = list.candidates[i].usable && hasRoomForBody(request, *list.endpoints[i]);
    return list;
}

/** Whether one more request may be moved to another region because of load. The limit prevents sudden changes of the regions' load. */
static bool mayMoveForLoad(const gate_state& gate, time_point now)
{
    const auto placements = eventsWithin(gate.placements, now, seconds(2));
    return (eventsWithin(gate.crossRegionMoves, now, seconds(2)) + 1) * 1000 <= placements * MaxMovedPermille;
}

/**
 * Placement with the endpoints that their pace holds back, for a request that would be late elsewhere: when capacity is short, what has
 * recovered is needed at once. Such an endpoint is chosen only if it is expected to answer in less than its level times the other time,
 * or sooner at all if the request would be refused otherwise.
 */
static std::optional<place_choice> choiceDespitePace(const place_query& query, const candidate_list& list, double otherMs, bool refusedOtherwise)
{
    auto candidates = list.candidates;
    for (const auto& [index, level] : list.heldBack)
        candidates[index].usable = true;
    const auto choice = placeRequest(query, candidates);
    for (const auto& [index, level] : list.heldBack) {
        if (choice && choice->index == index && choice->expectedMs < (refusedOtherwise ? 1 : level) * otherMs)
            return choice;
    }
    return std::nullopt;
}

std::optional<place_choice> choosePlacement(
    gate_state& gate, const gate_request& request, const candidate_list& list, time_point now)
{
    const auto times = expectedTimes(gate, *request.matchedRoute);
    place_query query;
    query.key = request.key;
    query.region = gate.self.region;
    query.objectiveLeftMs = std::max(0.0, toMilliseconds(request.arrived + request.matchedRoute->objective - now));
    query.objectiveMs = toMilliseconds(request.matchedRoute->objective);
    query.times = { times.cachedMs, times.uncachedMs };
    query.mayMoveForLoad = mayMoveForLoad(gate, now);
    auto choice = placeRequest(query, list.candidates);
    if (choice && !list.heldBack.empty() && choice->expectedMs > query.objectiveLeftMs) {
        const bool refused = choice->waitMs > gate.admission.maxWaitRatio * query.objectiveMs || choice->expectedMs > toMilliseconds(request.deadline - now);
        if (const auto other = choiceDespitePace(query, list, choice->expectedMs, refused))
            choice = other;
    }
    return choice;
}

} // namespace lhub
