/** @file placement_func.h Placement: chooses the region and the endpoint that serve a request. */
#pragma once

#include "placement/placement_type.h"

namespace lhub {

/** Regions, each with the part of a region's objects that it serves; the sum is 1. */
using region_shares = std::vector<std::pair<std::string_view, double>>;

/**
 * How the objects of callers in @p region are divided over the regions: the region keeps as many as its slots can carry,
 * the rest goes to regions with more slots than they need themselves, in proportion to that surplus. Assumes that all
 * regions have the same number of callers. Thread safe.
 * @param slots slots by region, of all endpoints of a service.
 * @param scarceFactor how many times the objects that its slots can carry the region keeps when it has half of the slots that it
 *        needs or fewer. A region with nearly enough keeps all, so that the loss of one endpoint in a dozen moves no other objects.
 */
region_shares sharesOf(std::string_view region, const std::map<std::string_view, double>& slots, double scarceFactor);

/**
 * The scarceFactor for sharesOf(). Where other regions are near, measured by the objective, a region with few slots keeps some of them free: a small
 * region has no other reserve for waves of its callers and for the loss of endpoints. Where the way takes much of the objective,
 * the region uses all its slots. Thread safe.
 * @param nearestRoundTripMs network round trip to the nearest other region.
 */
double scarceFactorFor(const place_query& query, double nearestRoundTripMs);

/**
 * Chooses an endpoint for one request: the home of its object, the same one on every VM that has the same candidates.
 * The current load matters in one case only: when the queue at the home endpoint would make the response late, the request
 * moves to another region that is expected to respond sooner, although the object is not cached there and the network
 * round trip is longer. Thread safe.
 * @return nothing when no candidate is usable.
 */
std::optional<place_choice> placeRequest(
    const place_query& query, const std::vector<place_candidate>& candidates);

} // namespace lhub
