/** @file idle_connection_func.h For how long a connection to an endpoint may be idle and still be reused. */
#pragma once

#include "idle_connection/idle_connection_type.h"

namespace lhub {

/**
 * Records that a reused connection, idle for @p idleFor before, ended at once. The endpoint may have closed it as idle, or it
 * may have crashed: the record counts only if the endpoint responds soon afterwards. Not thread safe.
 */
void recordStaleConnection(idle_connection_state& estimate, const std::string& address, milliseconds idleFor, time_point now);

/** Records that an endpoint responded, so it was not down. Not thread safe. */
void recordLiveConnection(idle_connection_state& estimate, const std::string& address, time_point now);

/**
 * Longest idle time after which a connection is reused. A request that is not repeatable gets a new connection unless the
 * idle time is short: on a stale connection it would end as "may have run". Thread safe on a const object.
 */
milliseconds maxIdleTime(const idle_connection_state& estimate, bool repeatable, time_point now);

} // namespace lhub
