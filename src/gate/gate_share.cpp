/** @file gate_share.cpp Admission with the shares of customers. */
#include "gate/gate_internal.h"

#include "admission/admission_func.h"
#include "fair_share/fair_share_func.h"

namespace lhub {

static gate_admission refusal(admit_decision decision, double waitMs)
{
    if (decision == admit_decision::DeadlineUnreachable)
        return { loss_cause::RefusedForTime, "cannot be served in time", waitMs };
    return { loss_cause::RefusedForQueue, "the queue is too long", waitMs };
}

static void logShareChanges(gate_state& gate, const std::string& service, time_point now, gate_effects& effects)
{
    for (const auto& change : takeShareChanges(gate.fairShares, service, now)) {
        const auto state = change.customer.empty() ? (change.active ? "overloaded" : "normal") : (change.active ? "limited" : "free");
        effects.push_back(log_line { "fair_share", { { "service", change.service }, { "customer", change.customer }, { "state", state }, { "zone", gate.self.zone }, { "level_per_s", change.level ? std::to_string(*change.level) : "none" } } });
    }
}

gate_admission admitPlaced(gate_state& gate, const gate_request& request, const admit_query& query, time_point now, gate_effects& effects)
{
    if (!request.table->config.hasCustomers || !request.attempts.empty()) {
        const auto decision = admitRequest(query, gate.admission);
        return decision == admit_decision::Send ? gate_admission {} : refusal(decision, query.waitMs);
    }
    const auto priority = request.customer ? request.customer->priority : request.matchedRoute->priority;
    const share_query share { request.service, customerOf(request), priority, query.waitMs, query.objectiveMs, admitRequest(query, gate.admission) == admit_decision::Send };
    const auto ruling = judgeShare(gate.fairShares, share, gate.admission.maxWaitRatio, now);
    logShareChanges(gate, request.service, now, effects);
    const auto decision = admitRequest(query, { ruling.maxWaitRatio });
    // A deadline that is too short without any wait says nothing about the load.
    if (decision == admit_decision::QueueTooLong || (decision == admit_decision::DeadlineUnreachable && query.expectedMs - query.waitMs <= query.deadlineLeftMs))
        recordQueueRefusal(gate.fairShares, share, now);
    if (decision == admit_decision::DeadlineUnreachable)
        return refusal(decision, query.waitMs);
    if (ruling.refused)
        return { loss_cause::RefusedForShare, "its customer has its share", ruling.creditMs };
    if (decision != admit_decision::Send)
        return refusal(decision, query.waitMs);
    recordAdmitted(gate.fairShares, share, now);
    return {};
}

} // namespace lhub
