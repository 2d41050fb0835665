/** @file request_func.h Rules for retries and verdicts. */
#pragma once

#include "request/request_type.h"
#include <string_view>

namespace lhub {

/** Whether repeating the method is harmless (RFC 9110, section 9.2.2). Thread safe. */
bool isIdempotent(std::string_view method);

/** A request arrived: the budget grows. */
void earnRetry(retry_budget& budget);

/** Takes a retry out of the budget; false when there is none left. */
bool spendRetry(retry_budget& budget);

/** Takes note of how a dispatch ended. */
void noteDispatch(request_state& request, dispatch_outcome outcome);

/**
 * Whether the request may be dispatched once more after @p outcome: it provably did not run, or repeating it is
 * harmless; and there is time.
 * @param replayable whether its body can be sent again and nothing was relayed to the caller yet.
 */
bool mayRetry(const request_state& request, dispatch_outcome outcome, bool replayable, time_point now);

} // namespace lhub
