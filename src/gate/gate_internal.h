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

/** Rules of a service; empty ones when the configuration lacks it. */
service_rules rulesOf(const gate_state& gate, const std::string& service);

/** Longest time to connect to an endpoint of @p region. */
milliseconds connectTimeTo(const gate_state& gate, const std::string& region);

void onRequest(gate_state& gate, time_point now, const request_seen& event, gate_effects& effects);
void onAttempt(gate_state& gate, time_point now, const attempt_seen& event, gate_effects& effects);
void onWake(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects);
void onCallerGone(gate_state& gate, std::uint64_t id, gate_effects& effects);

} // namespace lhub
