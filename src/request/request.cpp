/** @file request.cpp Rules for retries, and the verdict of a request after each dispatch. */
#include "request/request_func.h"

#include <algorithm>

namespace lhub {

bool isIdempotent(std::string_view method)
{
    constexpr std::array<std::string_view, 6> IdempotentMethods { "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE" };
    return std::find(IdempotentMethods.begin(), IdempotentMethods.end(), method) != IdempotentMethods.end();
}

void depositRetryTokens(retry_budget& budget)
{
    budget.hundredthsLeft = std::min(budget.hundredthsLeft + retry_budget::PerRequest, retry_budget::MaxHundredths);
}

bool takeRetryToken(retry_budget& budget)
{
    if (budget.hundredthsLeft < retry_budget::PerRetry)
        return false;
    budget.hundredthsLeft -= retry_budget::PerRetry;
    return true;
}

void recordDispatch(request_state& request, dispatch_outcome outcome)
{
    request.known = combineVerdicts(request.known, verdictOf(outcome));
    if (outcome != dispatch_outcome::Whole && !request.endpoint.empty())
        request.avoid.push_back(request.endpoint);
}

bool mayRetry(const request_state& request, dispatch_outcome outcome, bool replayable, time_point now)
{
    constexpr std::uint32_t MaxAttempts = 4;
    if (outcome == dispatch_outcome::Whole || outcome == dispatch_outcome::CallerGone)
        return false;
    if (!replayable || request.attempts >= MaxAttempts || now >= request.deadline)
        return false;
    return verdictOf(outcome) == verdict::NotRun || isIdempotent(request.method);
}

} // namespace lhub
