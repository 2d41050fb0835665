/** @file placement.cpp Placement: chooses the region and the endpoint that serve a request. */
#include "placement/placement_func.h"

#include "core/hash.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace lhub {

/** A region with enough slots keeps this many times the objects that its slots can carry, so that the loss of one endpoint in a
 *  dozen does not move objects of the other endpoints to another region. */
static constexpr double LocalHeadroom = 1.1;
/** Part of the objective up to which the way to another region costs less than the queues of a region that is too small. */
static constexpr double MaxWayPart = 0.2;
/** Result of scarceFactorFor() where other regions can respond on time. */
static constexpr double NearScarceFactor = 0.85;
/** Bounds, in slots that a region has of those that it needs, between which the factor changes from the one to the other. */
static constexpr double ScarceRatio = 0.5;
static constexpr double EnoughRatio = 0.9;
static constexpr std::uint64_t RegionSeed = 0x9d3f; ///< Makes the choice of the region independent of the choice of the endpoint.

double scarceFactorFor(const place_query& query, double nearestRoundTripMs)
{
    return nearestRoundTripMs <= MaxWayPart * query.objectiveMs ? NearScarceFactor : LocalHeadroom;
}

region_shares sharesOf(std::string_view region, const std::map<std::string_view, double>& slots, double scarceFactor)
{
    double total = 0;
    for (const auto& [name, count] : slots)
        total += count;
    const auto own = slots.find(region);
    const double regionCount = static_cast<double>(slots.size()) + (own == slots.end() ? 1 : 0);
    const double neededSlots = total / regionCount; // For the callers of each region.
    const double ownSlots = own == slots.end() ? 0 : own->second;
    const double ratio = neededSlots <= 0 ? 0 : ownSlots / neededSlots;
    const double enough = std::clamp((ratio - ScarceRatio) / (EnoughRatio - ScarceRatio), 0.0, 1.0);
    const double localShare = std::min(1.0, (scarceFactor + enough * (LocalHeadroom - scarceFactor)) * ratio);
    double surplus = 0; // Of all other regions.
    for (const auto& [name, count] : slots)
        surplus += name == region ? 0 : std::max(0.0, count - neededSlots);
    region_shares shares;
    if (surplus <= 0) { // All objects stay in the region; if it has no slots, they are divided by the slots of the others.
        for (const auto& [name, count] : slots)
            shares.emplace_back(name, own != slots.end() && ownSlots > 0 ? (name == region ? 1.0 : 0.0) : count / std::max(1.0, total));
        return shares;
    }
    for (const auto& [name, count] : slots)
        shares.emplace_back(name, name == region ? localShare : (1 - localShare) * std::max(0.0, count - neededSlots) / surplus);
    return shares;
}

/** Maps a hash to a number in [0, 1). */
static double toUnitInterval(std::uint64_t hash)
{
    constexpr double HashRange = 18446744073709551616.0; // 2^64
    return static_cast<double>(hash) / HashRange;
}

/** The region that serves the object. The unit interval is divided by the shares, own region first, so that a change of the
 *  shares moves few objects. */
static std::string_view homeRegion(std::uint64_t key, std::string_view own, const region_shares& shares)
{
    double position = toUnitInterval(stableHash("region", key ^ RegionSeed));
    for (const auto& [name, share] : shares) {
        if (name != own)
            continue;
        if (position < share)
            return name;
        position -= share;
    }
    std::string_view lastRegion = own; // Returned when rounding leaves a gap at the end of the interval.
    for (const auto& [name, share] : shares) {
        if (name == own || share <= 0)
            continue;
        lastRegion = name;
        if (position < share)
            return name;
        position -= share;
    }
    return lastRegion;
}

/** Indices of the candidates of a region, in the order of preference for the key. */
static std::vector<std::size_t> rankedCandidates(
    std::uint64_t key, std::string_view region, const std::vector<place_candidate>& candidates)
{
    std::vector<std::size_t> indices;
    std::vector<rendezvous_candidate> weighted;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].region != region)
            continue;
        indices.push_back(i);
        weighted.push_back({ candidates[i].id, candidates[i].slots });
    }
    std::vector<std::size_t> result;
    for (const auto index : rendezvousOrder(key, weighted))
        result.push_back(indices[index]);
    return result;
}

/**
 * The choice of a candidate, with its expected times.
 * @param isHome whether it is the object's home, where the object is expected to be cached.
 */
static place_choice estimateChoice(
    const place_query& query, const std::vector<place_candidate>& candidates, std::size_t index, bool isHome)
{
    const auto& candidate = candidates[index];
    const double queued = candidate.load + 1 - candidate.slots;
    const double factor = candidate.slowness * candidate.workFactor;
    const double processingMs = candidate.cached || isHome ? query.times.cachedMs : query.times.uncachedMs;
    place_choice choice;
    choice.index = index;
    choice.cached = candidate.cached || isHome;
    choice.waitMs = queued <= 0 ? 0 : queued / candidate.slots * query.times.cachedMs * factor;
    choice.expectedMs = choice.waitMs + processingMs * factor
        + candidate.roundTripMs;
    return choice;
}

/**
 * The object's endpoint in a region: the first usable candidate, however high its load. A second endpoint would have to process
 * the object uncached, which takes three times as long, and would evict other objects from its cache; under load this
 * reinforces itself.
 */
static std::optional<place_choice> firstUsable(
    const place_query& query, std::string_view region, const std::vector<place_candidate>& candidates, bool isHome)
{
    for (const auto index : rankedCandidates(query.key, region, candidates)) {
        if (candidates[index].usable)
            return estimateChoice(query, candidates, index, isHome);
    }
    return std::nullopt;
}

std::optional<place_choice> placeRequest(
    const place_query& query, const std::vector<place_candidate>& candidates)
{
    std::map<std::string_view, double> slots;
    double nearestRoundTripMs = std::numeric_limits<double>::max();
    for (const auto& candidate : candidates) {
        slots[candidate.region] += candidate.slots;
        if (candidate.region != query.region)
            nearestRoundTripMs = std::min(nearestRoundTripMs, candidate.roundTripMs);
    }
    if (slots.empty())
        return std::nullopt;
    const auto home = homeRegion(query.key, query.region, sharesOf(query.region, slots, scarceFactorFor(query, nearestRoundTripMs)));
    auto best = firstUsable(query, home, candidates, true);
    if (best && (best->expectedMs <= query.objectiveLeftMs || !query.mayMoveForLoad))
        return best;
    const bool homeUsable = best.has_value();
    for (const auto& [region, count] : slots) {
        if (region == home)
            continue;
        auto other = firstUsable(query, region, candidates, false);
        if (!other || (best && other->expectedMs >= best->expectedMs))
            continue;
        other->movedByLoad = homeUsable;
        best = other;
    }
    return best;
}

} // namespace lhub
