/** @file request_func.h Rules for retries, and the verdict of a request after each dispatch. */
#pragma once

#include "request/request_type.h"
#include <string_view>

namespace lhub {

/** Whether the method is idempotent (RFC 9110, section 9.2.2). Thread safe. */
bool isIdempotent(std::string_view method);

/** Adds the share of one arrived request to the budget. Not thread safe. */
void depositRetryTokens(retry_budget& budget);

/** Takes one retry out of the budget. Not thread safe. @return false, without a change, when less than one is left. */
bool takeRetryToken(retry_budget& budget);

/** Updates the request's verdict after a dispatch, and adds the target to request_state::avoid if the dispatch failed. Not thread
 *  safe. */
void recordDispatch(request_state& request, dispatch_outcome outcome);

/**
 * Whether the request may be dispatched once more after @p outcome: it certainly did not run or is idempotent, its deadline has
 * not passed and it has attempts left. Does not check the retry budget. Thread safe on const objects.
 * @param replayable whether its body is still available and no part of a response was relayed to the caller.
 */
bool mayRetry(const request_state& request, dispatch_outcome outcome, bool replayable, time_point now);

} // namespace lhub
