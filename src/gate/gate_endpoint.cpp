/** @file gate_endpoint.cpp Learning from attempts: processing times of routes, load and health of endpoints. */
#include "gate/gate_internal.h"

#include "distance/distance_func.h"
#include "health/health_func.h"
#include "self_report/self_report_func.h"
#include <algorithm>

namespace lhub {

/**
 * Quantiles of the measured processing times that serve as the estimates. The estimate for cached objects is below the median,
 * since queues and evicted objects lengthen some of these requests. The estimate for uncached objects is above it, since some
 * of these objects are cached after requests from other VMs.
 */
static constexpr double CachedQuantile = 0.3;
static constexpr double UncachedQuantile = 0.6;
/** Step of a quantile estimate for one response, relative to the estimate. */
static constexpr double QuantileStep = 0.05;
/** An attempt is overdue after these multiples of its expected time and of the processing time of an uncached object, whichever
 *  is later, in addition to the expected wait for a slot. */
static constexpr double OverdueFactor = 2.5;
static constexpr double OverdueUncachedFactor = 1.5;
/** Lower bound on the time until an attempt is overdue, without the wait for a slot: shorter delays are jitter. */
static constexpr double MinOverdueMs = 120;

time_point overdueAt(const gate_state& gate, const gate_request& request, const attempt_state& attempt)
{
    const double overdueAfterMs = std::max({ MinOverdueMs, OverdueFactor * attempt.expectedWithoutWaitMs,
                                      OverdueUncachedFactor * expectedTimes(gate, *request.matchedRoute).uncachedMs * std::max(1.0, attempt.workFactor) })
        + attempt.waitMs;
    return attempt.sentAt + milliseconds(static_cast<std::int64_t>(overdueAfterMs));
}

/** Moves a quantile estimate towards one value. Steps up are proportional to the quantile q and steps down to 1 - q, so that they
 *  balance where a part q of the values lies below the estimate. */
static double updatedQuantile(double estimate, double value, double quantile)
{
    const double step = QuantileStep * estimate;
    return estimate + (value < estimate ? -step * (1 - quantile) : step * quantile);
}

/**
 * Updates the route's processing times and the endpoint's slowness after a complete response. Uses the times that a machine with the
 * usual work time would have taken, so that transient deviations are not learned.
 * @param workFactor the work factor that the response reports; 1 when it reports none.
 */
static void recordResponseTime(gate_state& gate, const gate_request& request, const attempt_state& attempt, endpoint_state& endpoint, double workFactor, time_point now)
{
    const double networkMs = roundTripTo(gate.distances, endpoint.region);
    const double measuredMs = toMilliseconds(now - attempt.sentAt);
    const double elapsedMs = measuredMs - std::max(0.0, measuredMs - networkMs) * (1 - 1 / workFactor);
    const double waitMs = attempt.waitMs / attempt.workFactor;
    const double processingMs = std::max(1.0, elapsedMs - waitMs - networkMs);
    auto& times = gate.routeTimes[request.matchedRoute->name];
    const auto previous = expectedTimes(gate, *request.matchedRoute);
    if (attempt.expectedCached)
        times.cachedMs = updatedQuantile(previous.cachedMs, processingMs, CachedQuantile);
    else
        times.uncachedMs = updatedQuantile(previous.uncachedMs, processingMs, UncachedQuantile);
    const double expectedMs = waitMs + networkMs + (attempt.expectedCached ? previous.cachedMs : previous.uncachedMs);
    recordLatency(endpoint.health, milliseconds(static_cast<std::int64_t>(elapsedMs)), milliseconds(static_cast<std::int64_t>(expectedMs)), now);
}

bool isLeaving(const gate_state& gate, const endpoint_state& endpoint)
{
    return endpoint.entry.leaving || hasReportedLeaving(gate.selfReports, endpoint.entry.id, endpoint.entry.startUnixMs);
}

bool isPaused(const gate_state& gate, const endpoint_state& endpoint, time_point now)
{
    return now < pausedUntil(gate.selfReports, endpoint.entry.id, endpoint.entry.startUnixMs);
}

/** Logs what a report changed. @param source who made the report known. */
static void logReport(const std::string& endpoint, std::int64_t startUnixMs, const self_report& report, const self_report_change& change, std::string_view source, gate_effects& effects)
{
    const auto log = [&](std::string state, std::string_view unit = {}, std::string value = {}) {
        log_line line { "endpoint", { { "id", endpoint }, { "start", std::to_string(startUnixMs) }, { "state", std::move(state) }, { "reason", std::string(source) } } };
        if (!unit.empty())
            line.fields.emplace_back(unit, std::move(value));
        effects.push_back(std::move(line));
    };
    if (change.leaving)
        log("leaving");
    if (change.limit)
        log(report.requestsPerSecond ? "limited" : "unlimited", "requests_per_s", std::to_string(report.requestsPerSecond.value_or(0)));
    if (change.paused)
        log("paused", "for_ms", std::to_string(report.pause.count()));
}

void recordReport(gate_state& gate, const attempt_state& attempt, const self_report& report, time_point now, gate_effects& effects)
{
    const auto change = recordSelfReport(gate.selfReports, attempt.endpoint, attempt.endpointStartUnixMs, report, now);
    logReport(attempt.endpoint, attempt.endpointStartUnixMs, report, change, "reported in its response", effects);
}

void onReportUpdates(gate_state& gate, time_point now, const report_updates_received& event, gate_effects& effects)
{
    for (const auto& update : event.updates) {
        const auto change = applyReportUpdate(gate.selfReports, update, now);
        logReport(update.id, update.startUnixMs, { update.leaving, milliseconds(0), update.requestsPerSecond }, change, "reported by another VM", effects);
    }
}

static health_signal healthSignalOf(const attempt_ended& event)
{
    switch (event.outcome) {
    case dispatch_outcome::Whole:
        return event.status >= 500 ? health_signal::Failure : health_signal::Success;
    case dispatch_outcome::ConnectFailed:
        return health_signal::Unreachable;
    case dispatch_outcome::Shed:
        return health_signal::Refused;
    case dispatch_outcome::TimedOut:
        return health_signal::Overdue;
    default:
        return health_signal::Failure;
    }
}

/** Records a health signal. When it ejects the endpoint, the idle connections to it are closed, so that the next attempt has to
 *  establish a new one. */
static void recordEndpointSignal(gate_state& gate, endpoint_state& endpoint, health_signal signal, const std::string& reason, time_point now, gate_effects& effects)
{
    if (!recordSignal(endpoint.health, signal, now))
        return;
    recordPaceEjection(gate, endpoint, now);
    effects.push_back(drop_connections { endpoint.entry.address });
    effects.push_back(log_line { "endpoint",
        { { "id", endpoint.entry.id }, { "state", "ejected" }, { "reason", reason },
            { "for_ms", std::to_string(elapsed(now, endpoint.health.ejectedUntil).count()) } } });
}

void recordAttemptEnd(gate_state& gate, const gate_request& request, const attempt_state& attempt, const attempt_ended& event,
    time_point now, gate_effects& effects)
{
    const auto found = gate.endpoints.find(attempt.endpoint);
    if (found == gate.endpoints.end())
        return;
    auto& endpoint = found->second;
    endpoint.inFlight -= endpoint.inFlight > 0 ? 1 : 0;
    endpoint.bodyBytesInFlight -= std::min(endpoint.bodyBytesInFlight, request.bodyBytes);
    if (event.connectTook.count() > 0)
        recordConnect(gate.distances, endpoint.region, event.connectTook);
    if (event.connectTimedOut)
        recordConnectTimeout(gate.distances, endpoint.region);
    if (event.outcome == dispatch_outcome::CallerGone)
        return;
    if (event.coldLeft.count() > 0)
        endpoint.coldUntil = std::max(endpoint.coldUntil, now + event.coldLeft);
    if (event.loadReported) {
        endpoint.otherVmsLoad = std::max(0.0, event.running + event.waiting - endpoint.inFlight);
        endpoint.loadReportedAt = now;
    }
    if (event.workFactor) {
        recordWorkFactor(endpoint.health, *event.workFactor, now);
        gate.workTimeServices.insert(endpoint.entry.service);
    }
    if (event.status != 0)
        endpoint.lastAnswerAt = now;
    recordPaceAtEnd(gate, request, attempt, event, endpoint, now);
    const bool refusedForCapacity = event.outcome == dispatch_outcome::Shed && event.loadReported && event.running >= event.slots;
    if (event.outcome == dispatch_outcome::Whole && event.status < 500) {
        recordForecast(gate, request, attempt, now, effects);
        recordResponseTime(gate, request, attempt, endpoint, event.workFactor.value_or(1), now);
    }
    if (event.misdirected) { // Another endpoint has its address now.
        removeEndpoint(gate, now, attempt.endpoint, effects);
        return;
    }
    if (event.staleConnection) { // The stale connection failed, not the endpoint. Other idle connections to it may be stale too.
        effects.push_back(drop_connections { endpoint.entry.address });
        return;
    }
    if (!refusedForCapacity)
        recordEndpointSignal(gate, endpoint, healthSignalOf(event), event.reason, now, effects);
}

void recordOverdueAttempts(gate_state& gate, gate_request& request, time_point now, gate_effects& effects)
{
    for (auto& attempt : request.attempts) {
        const auto endpoint = gate.endpoints.find(attempt.endpoint);
        if (!attempt.open || attempt.overdueRecorded || endpoint == gate.endpoints.end())
            continue;
        if (now < overdueAt(gate, request, attempt) && now < request.deadline)
            continue;
        attempt.overdueRecorded = true;
        recordPaceOverdue(gate, attempt, endpoint->second, now);
        // A response to another attempt since then shows that the endpoint works and only this request is slow.
        if (endpoint->second.lastAnswerAt <= attempt.sentAt)
            recordEndpointSignal(gate, endpoint->second, health_signal::Overdue, "overdue", now, effects);
    }
}

} // namespace lhub
