/** @file gate_pace.cpp The pace of endpoints that have started or recovered: evidence from attempts, levels of other VMs, log. */
#include "gate/gate_internal.h"

#include "distance/distance_func.h"
#include "pace/pace_func.h"
#include <algorithm>

namespace lhub {

/** A response is late after this multiple of the processing time of an uncached object, which is a quantile that many exceed. */
static constexpr double LateUncachedFactor = 1.5;
/** Most levels in one message, about 60 bytes each. */
static constexpr std::size_t MaxPacesPerMessage = 8;

static bool isPaceEnabled(const gate_state& gate, const endpoint_state& endpoint)
{
    if (gate.self.recoveryPace != pace_mode::Auto)
        return gate.self.recoveryPace == pace_mode::On;
    return (gate.routes && gate.routes->config.hasCustomers) || gate.workTimeServices.count(endpoint.entry.service) > 0;
}

endpoint_pace* currentPace(gate_state& gate, endpoint_state& endpoint, time_point now)
{
    const auto coldUntil = coldUntilOf(gate, endpoint);
    const bool neverPaced = coldUntil == time_point {} && endpoint.pace.begunAt == time_point {};
    if (neverPaced || !isPaceEnabled(gate, endpoint))
        return nullptr;
    updatePhase(endpoint.pace, coldUntil, now);
    if (auto change = paceChange(endpoint.pace, now)) {
        change->id = endpoint.entry.id;
        gate.paceChanges.push_back(std::move(*change));
    }
    return &endpoint.pace;
}

/** Whether the endpoint's region uses all slots, as far as reported, and the endpoint is not busier than the others there: requests then
 *  wait everywhere, and a late response says nothing about the endpoint. */
static bool isRegionBusier(const gate_state& gate, const endpoint_state& endpoint, time_point now)
{
    double load = 0;
    double slots = 0;
    for (const auto& [id, other] : gate.endpoints) {
        if (&other == &endpoint || other.region != endpoint.region || other.entry.service != endpoint.entry.service)
            continue;
        const double weight = reportWeight(other, now);
        load += weight * (other.inFlight + other.otherVmsLoad);
        slots += weight * other.entry.slots;
    }
    const double own = endpoint.inFlight + endpoint.otherVmsLoad * reportWeight(endpoint, now);
    return slots > 0 && load >= slots && own * slots <= load * endpoint.entry.slots;
}

static pace_evidence evidenceOf(const attempt_ended& event, bool late)
{
    const bool served = event.outcome == dispatch_outcome::Whole && event.status < 500;
    if (!served || late)
        return pace_evidence::Bad;
    const bool waiting = event.loadReported && event.waiting > 0;
    return event.status < 200 || event.status >= 300 || waiting ? pace_evidence::None : pace_evidence::Good;
}

void recordPaceAtEnd(gate_state& gate, const gate_request& request, const attempt_state& attempt, const attempt_ended& event, endpoint_state& endpoint, time_point now)
{
    // An attempt that became overdue has counted already; one on a stale connection, or to another start or endpoint, says nothing.
    if (attempt.overdueRecorded || event.staleConnection || event.misdirected || attempt.endpointStartUnixMs != endpoint.entry.startUnixMs)
        return;
    auto* pace = currentPace(gate, endpoint, now);
    if (!pace)
        return;
    const double factor = std::max(attempt.workFactor, event.workFactor.value_or(1));
    const double lateAfterMs = attempt.waitMs + roundTripTo(gate.distances, endpoint.region) + LateUncachedFactor * factor * expectedTimes(gate, *request.matchedRoute).uncachedMs;
    const bool late = toMilliseconds(now - attempt.sentAt) > lateAfterMs;
    const auto evidence = evidenceOf(event, late);
    const bool fromLoad = event.outcome == dispatch_outcome::Shed || (event.outcome == dispatch_outcome::Whole && event.status < 500);
    if (evidence == pace_evidence::Bad && fromLoad && isRegionBusier(gate, endpoint, now))
        return;
    recordEvidence(*pace, evidence, attempt.sentAt, now);
}

void recordPaceOverdue(gate_state& gate, const attempt_state& attempt, endpoint_state& endpoint, time_point now)
{
    auto* pace = attempt.endpointStartUnixMs == endpoint.entry.startUnixMs ? currentPace(gate, endpoint, now) : nullptr;
    if (pace && !isRegionBusier(gate, endpoint, now))
        recordEvidence(*pace, pace_evidence::Bad, attempt.sentAt, now);
}

void recordPaceEjection(gate_state& gate, endpoint_state& endpoint, time_point now)
{
    if (!isPaceEnabled(gate, endpoint))
        return;
    updatePhase(endpoint.pace, coldUntilOf(gate, endpoint), now);
    recordEjection(endpoint.pace, endpoint.health.ejectedUntil, now);
}

void logPaceChanges(gate_state& gate, gate_effects& effects)
{
    for (const auto& change : gate.paceChanges) {
        const auto percent = static_cast<int>(100 * change.level);
        effects.push_back(log_line { "endpoint",
            { { "id", change.id }, { "state", "pace" }, { "percent", std::to_string(percent) }, { "after_ms", std::to_string(change.after.count()) } } });
    }
    gate.paceChanges.clear();
}

void onPaceUpdates(gate_state& gate, time_point now, const pace_updates_received& event)
{
    for (const auto& update : event.updates) {
        const auto found = gate.endpoints.find(update.id);
        if (found == gate.endpoints.end() || found->second.entry.startUnixMs != update.startUnixMs)
            continue;
        if (auto* pace = currentPace(gate, found->second, now))
            applyPaceUpdate(*pace, update, now);
    }
}

std::vector<pace_update> nextPaceUpdates(gate_state& gate, time_point now)
{
    std::vector<endpoint_state*> due;
    for (auto& [id, endpoint] : gate.endpoints) {
        if (endpoint.pace.roundsToSend > 0)
            due.push_back(&endpoint);
    }
    std::stable_sort(due.begin(), due.end(), [](const auto* a, const auto* b) { return a->pace.roundsToSend > b->pace.roundsToSend; });
    due.resize(std::min(due.size(), MaxPacesPerMessage));
    std::vector<pace_update> updates;
    for (auto* endpoint : due) {
        --endpoint->pace.roundsToSend;
        updates.push_back({ endpoint->entry.id, endpoint->entry.startUnixMs, endpoint->pace.level, elapsed(endpoint->pace.evidenceAt, now) });
    }
    return updates;
}

std::size_t pacedEndpoints(const gate_state& gate, time_point now)
{
    std::size_t count = 0;
    for (const auto& [id, endpoint] : gate.endpoints) {
        auto pace = endpoint.pace;
        if (pace.begunAt == time_point {})
            continue;
        updatePhase(pace, coldUntilOf(gate, endpoint), now);
        count += levelAt(pace, now) < 1 ? 1 : 0;
    }
    return count;
}

} // namespace lhub
