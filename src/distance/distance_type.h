/** @file distance_type.h Network round trips from this VM to the endpoints of each region, learned from connects. */
#pragma once

#include "core/time_type.h"
#include <map>
#include <string>

namespace lhub {

/** Learned round trips. */
struct region_distances {
    std::string ownRegion; ///< Region of this VM.
    std::map<std::string, double, std::less<>> roundTripMs; ///< By region; regions without a successful connect are missing.
};

} // namespace lhub
