/** @file distance_func.h Network round trips from this VM to the endpoints of each region, learned from connects. */
#pragma once

#include "distance/distance_type.h"

namespace lhub {

/** Records a connect to an endpoint of @p region that succeeded after @p took. Not thread safe. */
void recordConnect(region_distances& distances, const std::string& region, time_point::duration took);

/** Records a connect that timed out: the region may lie farther away than assumed. Not thread safe. */
void recordConnectTimeout(region_distances& distances, const std::string& region);

/** Round trip to @p region in milliseconds; before the first connect an assumption. Thread safe on a const object. */
double roundTripTo(const region_distances& distances, std::string_view region);

/** Timeout of a connect to an endpoint of @p region. Thread safe on a const object. */
milliseconds connectTimeoutTo(const region_distances& distances, std::string_view region);

} // namespace lhub
