/** @file caller_return_func.h Recognizes requests whose callers came back after a refusal, by the time that they still have. */
#pragma once

#include "admission/caller_return_type.h"

namespace lhub {

/** Records the time-out of a request. Not thread safe. */
void recordCallerTimeout(caller_timeouts& timeouts, milliseconds timeout);

/**
 * Time that a caller has spent before this request, on earlier tries of it: callers that come back send what remains of their
 * time-out. 0 when the request is a first one, or when callers of the route have no time-out in common. Thread safe on a const
 * object.
 */
milliseconds spentBefore(const caller_timeouts& timeouts, milliseconds timeout);

} // namespace lhub
