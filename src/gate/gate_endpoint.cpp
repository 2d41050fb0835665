/** @file gate_endpoint.cpp What attempts tell of endpoints: times, load, health. */
#include "gate/gate_internal.h"

#include "health/health_func.h"
#include <algorithm>

namespace lhub {

/** Quantiles of the measured work that stand for warm and for cold work: queues and objects that were forgotten lengthen
 *  what should have been warm, objects that other VMs warmed shorten what should have been cold. */
static constexpr double WarmQuantile = 0.3;
static constexpr double ColdQuantile = 0.6;
/** Step of a quantile's estimate for one answer, relative to the estimate. */
static constexpr double TimesGain = 0.05;
/** An answer is overdue at this many times what was expected, and of cold work, beyond the wait for a slot. */
static constexpr double OverdueFactor = 2.5;
static constexpr double OverdueColdFactor = 1.5;
/** Never sooner than this: shorter delays are jitter. */
static constexpr double OverdueLeastMs = 120;

/** When an attempt without an answer is overdue: several times what was expected, and more than cold work takes. */
time_point overdueAt(const gate_state& gate, const gate_request& request, const attempt_state& attempt)
{
    const double after = std::max({ OverdueLeastMs, OverdueFactor * attempt.expectedMs,
                             OverdueColdFactor * timesOf(gate, *request.rules).coldMs })
        + attempt.waitMs;
    return attempt.sentAt + milliseconds(static_cast<std::int64_t>(after));
}

/** Moves the estimate of a quantile by one value: up by its part, down by the rest, in the long run balanced there. */
static double nextQuantile(double estimate, double value, double quantile)
{
    const double step = TimesGain * estimate;
    return estimate + (value < estimate ? -step * (1 - quantile) : step * quantile);
}

/** Learns from a whole answer. */
static void learn(gate_state& gate, const gate_request& request, const attempt_state& attempt, endpoint_state& endpoint, time_point now)
{
    const double took = msOf(now - attempt.sentAt);
    const double far = endpoint.region == gate.self.region ? 0 : FarMs;
    const double work = std::max(1.0, took - attempt.waitMs - far);
    auto& times = gate.times[request.rules->name];
    const auto usual = timesOf(gate, *request.rules);
    if (attempt.warm)
        times.warmMs = nextQuantile(usual.warmMs, work, WarmQuantile);
    else
        times.coldMs = nextQuantile(usual.coldMs, work, ColdQuantile);
    const double expected = attempt.waitMs + far + (attempt.warm ? usual.warmMs : usual.coldMs);
    noteLatency(endpoint.health, milliseconds(static_cast<std::int64_t>(took)), milliseconds(static_cast<std::int64_t>(expected)), now);
}

static health_signal signalOf(const attempt_seen& event)
{
    switch (event.outcome) {
    case dispatch_outcome::Whole:
        return event.status >= 500 ? health_signal::Broken : health_signal::Good;
    case dispatch_outcome::ConnectFailed:
        return health_signal::Unreachable;
    case dispatch_outcome::Shed:
        return health_signal::Refused;
    case dispatch_outcome::TimedOut:
        return health_signal::Overdue;
    default:
        return health_signal::Broken;
    }
}

/** Counts a signal; an ejected endpoint loses its kept connections, so that the next attempt there proves a connection. */
static void signalEndpoint(endpoint_state& endpoint, health_signal signal, const std::string& reason, time_point now, gate_effects& effects)
{
    if (!noteSignal(endpoint.health, signal, now))
        return;
    effects.push_back(drop_connections { endpoint.entry.address });
    effects.push_back(log_line { "endpoint",
        { { "id", endpoint.entry.id }, { "state", "ejected" }, { "reason", reason },
            { "for_ms", std::to_string(elapsed(now, endpoint.health.ejectedUntil).count()) } } });
}

/** Takes what the end of an attempt says of the endpoint into account. */
void noteEndpoint(gate_state& gate, const gate_request& request, const attempt_state& attempt, const attempt_seen& event,
    time_point now, gate_effects& effects)
{
    const auto found = gate.endpoints.find(attempt.endpoint);
    if (found == gate.endpoints.end())
        return;
    auto& endpoint = found->second;
    endpoint.inFlight -= endpoint.inFlight > 0 ? 1 : 0;
    if (event.outcome == dispatch_outcome::CallerGone)
        return;
    if (event.coldLeft.count() > 0)
        endpoint.coldUntil = std::max(endpoint.coldUntil, now + event.coldLeft);
    if (event.reported) {
        endpoint.othersLoad = std::max(0.0, event.running + event.waiting - endpoint.inFlight);
        endpoint.reportedAt = now;
    }
    if (event.status != 0)
        endpoint.answeredAt = now;
    const bool full = event.outcome == dispatch_outcome::Shed && event.reported && event.running >= event.slots;
    if (event.outcome == dispatch_outcome::Whole && event.status < 500)
        learn(gate, request, attempt, endpoint, now);
    if (event.misdirected) { // Its address belongs to another endpoint now.
        removeEndpoint(gate, attempt.endpoint, effects);
        return;
    }
    if (event.forgotten) { // A connection that rested, not the endpoint, is to blame; others that rest there may be gone too.
        effects.push_back(drop_connections { endpoint.entry.address });
        return;
    }
    if (!full)
        signalEndpoint(endpoint, signalOf(event), event.reason, now, effects);
}

/** Endpoints that have answered nothing since an overdue attempt was sent get a bad signal, once an attempt. */
void noteOverdue(gate_state& gate, gate_request& request, time_point now, gate_effects& effects)
{
    for (auto& attempt : request.attempts) {
        const auto endpoint = gate.endpoints.find(attempt.endpoint);
        if (!attempt.open || attempt.overdue || endpoint == gate.endpoints.end())
            continue;
        if (now < overdueAt(gate, request, attempt) && now < request.deadline)
            continue;
        attempt.overdue = true;
        if (endpoint->second.answeredAt <= attempt.sentAt)
            signalEndpoint(endpoint->second, health_signal::Overdue, "overdue", now, effects);
    }
}

} // namespace lhub
