/** @file gate_internal.h Shared by the files of the reducer. */
#pragma once

#include "gate/gate_func.h"

namespace lhub {

/** VMs that may each believe to own a cold endpoint while their views differ; divides its rate. */
inline constexpr double ColdOwnersAtOnce = 3;

void applyEndpoint(gate_state& gate, time_point now, const endpoint_entry& entry, gate_effects& effects);
void removeEndpoint(gate_state& gate, const std::string& id, gate_effects& effects);
void applyEvacuations(gate_state& gate, time_point now, const std::set<std::string>& zones, gate_effects& effects);

/** Whether the endpoint is cold at @p now. */
bool isCold(const gate_state& gate, const endpoint_state& endpoint, time_point now);

/** Trust in the view of the other VMs, judged a moment ago at most. */
const view_trust& trustNow(gate_state& gate, time_point now);

/** Rules of a service; empty ones when the configuration lacks it. */
service_rules rulesOf(const gate_state& gate, const std::string& service);

/** Longest time to connect to an endpoint of @p region. */
milliseconds connectTimeTo(const gate_state& gate, const std::string& region);

/** Round trip to another region as callers' objectives see it. */
inline constexpr double FarMs = 110;

/** @p span in milliseconds. */
inline double msOf(time_point::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

/** Usual times of the route, first guesses until they were measured. */
route_times timesOf(const gate_state& gate, const route& rules);

/** Endpoints that may serve the request, as placement sees them. */
struct candidate_list {
    std::vector<place_candidate> candidates; ///< As placement wants them.
    std::vector<endpoint_state*> endpoints; ///< The same, by index.
};

/** All endpoints that fit the request; those that may not get it now are marked. */
candidate_list candidatesFor(gate_state& gate, const gate_request& request, time_point now);

/** Asks placement. */
std::optional<place_choice> placeFor(
    gate_state& gate, const gate_request& request, const candidate_list& list, time_point now);

/** When an attempt without an answer is overdue. */
time_point overdueAt(const gate_state& gate, const gate_request& request, const attempt_state& attempt);

/** Takes what the end of an attempt says of the endpoint into account. */
void noteEndpoint(gate_state& gate, const gate_request& request, const attempt_state& attempt, const attempt_seen& event,
    time_point now, gate_effects& effects);

/** Takes overdue attempts into account, each once. */
void noteOverdue(gate_state& gate, gate_request& request, time_point now, gate_effects& effects);

void onRequest(gate_state& gate, time_point now, const request_seen& event, gate_effects& effects);
void onAttempt(gate_state& gate, time_point now, const attempt_seen& event, gate_effects& effects);
void onWake(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects);
void onCallerGone(gate_state& gate, std::uint64_t id, gate_effects& effects);

} // namespace lhub
