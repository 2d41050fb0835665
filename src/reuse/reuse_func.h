/** @file reuse_func.h For how long a kept connection to an endpoint may rest before it is used again. */
#pragma once

#include "reuse/reuse_type.h"

namespace lhub {

/**
 * A connection that had rested for @p rest ended at once at its next use. Counts only when the endpoint answers soon
 * afterwards: one that crashed ends its connections too. Not thread safe.
 */
void noteForgotten(reuse_belief& belief, const std::string& address, milliseconds rest, time_point now);

/** An endpoint answered, so it lives. Not thread safe. */
void noteAlive(reuse_belief& belief, const std::string& address, time_point now);

/**
 * Longest rest after which a connection is used again. A request that may run only once gets a fresh connection unless
 * the rest was short: on a connection that is gone it ends as "may have run". Thread safe on a const object.
 */
milliseconds longestRest(const reuse_belief& belief, bool repeatable, time_point now);

} // namespace lhub
