/** @file reuse_type.h For how long a kept connection to an endpoint may rest before it is used again. */
#pragma once

#include "core/time_type.h"
#include <map>
#include <string>

namespace lhub {

/** A kept connection that ended at its next use, before it is known whether its endpoint lives. */
struct rest_suspicion {
    milliseconds rested { 0 }; ///< How long it had rested.
    time_point at {}; ///< When it ended.
};

/** What a VM has learned of endpoints that forget connections that rested. */
struct reuse_belief {
    milliseconds shortestLost { milliseconds::max() }; ///< Shortest rest after which a living endpoint had forgotten one.
    time_point learnedAt {}; ///< When that was last seen.
    std::map<std::string, rest_suspicion> suspicions; ///< By address of the endpoint.
};

} // namespace lhub
