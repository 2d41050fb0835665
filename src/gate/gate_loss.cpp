/** @file gate_loss.cpp Records how requests ended and why, and how good the forecasts of their attempts were. */
#include "gate/gate_internal.h"

#include "distance/distance_func.h"
#include "loss/loss_func.h"
#include <algorithm>

namespace lhub {

/** Refusals that are remembered; about those of two seconds under heavy overload. */
static constexpr std::size_t MaxRefusals = 128;
/** Largest difference of the deadlines of two tries of one request: the jitter of the network. */
static constexpr milliseconds SameDeadlineTolerance { 60 };
/** An attempt that takes this many times its expected time is logged. */
static constexpr double LoggedForecastRatio = 2;

void rememberRefusal(gate_state& gate, const gate_request& request)
{
    gate.refusals.push_back({ request.key, request.callerDeadline });
    if (gate.refusals.size() > MaxRefusals)
        gate.refusals.pop_front();
}

bool wasRefusedBefore(const gate_state& gate, const gate_request& request)
{
    return std::any_of(gate.refusals.begin(), gate.refusals.end(), [&](const refused_request& refused) {
        return refused.key == request.key && std::chrono::abs(refused.callerDeadline - request.callerDeadline) <= SameDeadlineTolerance;
    });
}

static attempt_forecast forecastOf(const gate_state& gate, const gate_request& request, const attempt_state& attempt, time_point now)
{
    const auto times = expectedTimes(gate, *request.matchedRoute);
    const auto endpoint = gate.endpoints.find(attempt.endpoint);
    return { attempt.expectedCached, attempt.waitMs, attempt.expectedWithoutWaitMs + attempt.waitMs, toMilliseconds(now - attempt.sentAt),
        times.cachedMs, times.uncachedMs, endpoint == gate.endpoints.end() ? 0 : roundTripTo(gate.distances, endpoint->second.region) };
}

loss_cause failureOf(const attempt_ended& event)
{
    switch (event.outcome) {
    case dispatch_outcome::Whole:
        return event.status >= 500 ? loss_cause::AnswerLost : loss_cause::None;
    case dispatch_outcome::ConnectFailed:
        return loss_cause::Connection;
    case dispatch_outcome::Shed:
        return loss_cause::EndpointRefused;
    case dispatch_outcome::CallerGone:
        return loss_cause::CallerGone;
    default:
        return event.staleConnection ? loss_cause::Connection : loss_cause::AnswerLost;
    }
}

void recordForecast(gate_state& gate, const gate_request& request, const attempt_state& attempt, time_point now, gate_effects& effects)
{
    const auto forecast = forecastOf(gate, request, attempt, now);
    countForecast(gate.losses, forecast);
    if (forecast.actualMs <= LoggedForecastRatio * forecast.expectedMs)
        return;
    effects.push_back(log_line { "forecast_missed",
        { { "id", request.callerRequestId }, { "service", request.service }, { "endpoint", attempt.endpoint },
            { "expected_ms", std::to_string(static_cast<int>(forecast.expectedMs)) }, { "wait_ms", std::to_string(static_cast<int>(forecast.waitMs)) },
            { "actual_ms", std::to_string(static_cast<int>(forecast.actualMs)) }, { "warm", forecast.expectedCached ? "yes" : "no" },
            { "cause", std::string(nameOf(LossCauseNames, causeOfLateAttempt(forecast, false))) } } });
}

const std::string& customerOf(const gate_request& request)
{
    static const std::string None;
    return request.customer ? request.customer->name : None;
}

/** The first failure of an attempt; None when all that ended were answered. */
static loss_cause firstFailure(const gate_request& request)
{
    for (const auto& attempt : request.attempts) {
        if (attempt.failure != loss_cause::None)
            return attempt.failure;
    }
    return loss_cause::None;
}

/** An open attempt that was noticed as overdue shows a slow endpoint or a lost answer. */
static bool hasOverdueAttempt(const gate_request& request)
{
    for (const auto& attempt : request.attempts) {
        if (attempt.open && attempt.overdueRecorded)
            return true;
    }
    return false;
}

void recordRelayed(gate_state& gate, const gate_request& request, const attempt_state& attempt, unsigned status, time_point now, gate_effects& effects)
{
    const bool served = status < 500;
    const bool late = elapsed(request.arrived, now) > request.matchedRoute->objective;
    const auto result = served ? (late ? service_result::Late : service_result::OnTime) : service_result::Failed;
    auto cause = loss_cause::None;
    if (result != service_result::OnTime) {
        cause = firstFailure(request);
        if (cause == loss_cause::None && hasOverdueAttempt(request))
            cause = loss_cause::EndpointSlow;
        if (cause == loss_cause::None)
            cause = causeOfLateAttempt(forecastOf(gate, request, attempt, now), attempt.expectedLate);
    }
    countLoss(gate.losses, request.service, customerOf(request), result, cause);
    effects.push_back(log_line { "done",
        { { "id", request.callerRequestId }, { "service", request.service }, { "customer", customerOf(request) }, { "zone", gate.self.zone }, { "status", std::to_string(status) },
            { "result", std::string(nameOf(ServiceResultNames, result)) }, { "cause", std::string(nameOf(LossCauseNames, cause)) },
            { "after_ms", std::to_string(elapsed(request.arrived, now).count()) }, { "came_back", request.cameBack ? "yes" : "no" },
            { "attempts", std::to_string(request.attempts.size()) } } });
}

loss_cause recordUnserved(gate_state& gate, const gate_request& request, service_result result, loss_cause ownCause)
{
    auto cause = firstFailure(request);
    if (cause == loss_cause::None && hasOverdueAttempt(request))
        cause = loss_cause::EndpointSlow;
    const bool refusedHere = ownCause == loss_cause::RefusedForQueue || ownCause == loss_cause::RefusedForTime || ownCause == loss_cause::RefusedForShare;
    if (cause == loss_cause::None)
        cause = refusedHere && request.cameBack ? loss_cause::RefusedAgain : ownCause;
    countLoss(gate.losses, request.service, customerOf(request), result, cause);
    return cause;
}

} // namespace lhub
