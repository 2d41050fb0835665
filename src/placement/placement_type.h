/** @file placement_type.h Placement: chooses the region and the endpoint that serve a request. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lhub {

/** An endpoint that may serve a request. */
struct place_candidate {
    std::string_view id; ///< Identity of the endpoint.
    std::string_view region; ///< Region of the endpoint.
    double slots = 1; ///< Requests that it can process at the same time.
    double load = 0; ///< Requests there, in process and queued, as far as this VM knows.
    double slowness = 1; ///< Its response time relative to the expected one; 1 is as expected.
    bool usable = true; ///< Whether it may get the request now; if not, its slots still count for its region.
    bool cached = false; ///< It handled the object recently and is expected to have it cached.
    double roundTripMs = 0; ///< Network round trip to its region.
    double workFactor = 1; ///< Processing times on its machine relative to the usual ones, as it reported; separate from slowness, which is measured.
};

/** Expected times of the requests of a route. */
struct place_times {
    double cachedMs = 100; ///< Processing time where the object is cached.
    double uncachedMs = 300; ///< Processing time at other endpoints.
};

/** The request to place. */
struct place_query {
    std::uint64_t key = 0; ///< Hash of the object, or of the request id when it names no object.
    std::string_view region; ///< Region of this VM.
    double objectiveMs = 400; ///< The route's objective.
    double objectiveLeftMs = 0; ///< Time until the response would be late; 0 when it is late already.
    place_times times; ///< Expected times of its route.
    bool mayMoveForLoad = true; ///< Whether load may move the request out of its home region.
};

/** The chosen endpoint. */
struct place_choice {
    std::size_t index = 0; ///< Index of the candidate.
    double expectedMs = 0; ///< Expected time until the response, waitMs included.
    double waitMs = 0; ///< Expected wait for a slot.
    bool movedByLoad = false; ///< The home region has a usable endpoint, but load moved the request to another region.
    bool cached = false; ///< The object is expected to be cached at the endpoint.
};

} // namespace lhub
