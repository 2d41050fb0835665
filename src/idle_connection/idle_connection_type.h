/** @file idle_connection_type.h For how long a connection to an endpoint may be idle and still be reused. */
#pragma once

#include "core/time_type.h"
#include <map>
#include <string>

namespace lhub {

/** A reused connection that ended at once. It was stale if its endpoint is still running, which is not known yet. */
struct suspected_stale_connection {
    milliseconds idleFor { 0 }; ///< How long it had been idle before it was reused.
    time_point endedAt {}; ///< When it ended.
};

/** What a VM has learned about the time after which endpoints close idle connections. */
struct idle_connection_state {
    milliseconds shortestStale { milliseconds::max() }; ///< Shortest idle time after which a connection to a running endpoint was stale.
    time_point staleSeenAt {}; ///< When such a connection was last seen.
    std::map<std::string, suspected_stale_connection> suspected; ///< By address of the endpoint, until it responds.
};

} // namespace lhub
