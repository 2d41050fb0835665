/** @file gate_func.h The reducer of lhub-gate, the program of an entry VM. */
#pragma once

#include "gate/gate_event.h"

namespace lhub {

/**
 * The state of a gate after its start, with itself as the only known member.
 * @param incarnation number of this start for gossip; differs between two starts.
 */
gate_state makeGate(gate_parameters self, std::uint64_t incarnation);

/** Applies one event and appends the effects to carry out. Pure: reads no clock, socket or random device. Not thread safe. */
void reduceGate(gate_state& gate, time_point now, const gate_event& event, gate_effects& effects);

/** Whether callers can be served: a configuration and a list of endpoints are known, and no stop has begun. */
bool isReady(const gate_state& gate);

/** IPs of the entry VMs for a caller of @p region that asks for @p host. Thread safe on const objects. */
std::vector<std::string> lookUp(const gate_state& gate, std::string_view host, std::string_view region, time_point now);

/**
 * Whether this VM is the one VM of the endpoint's region that may send to it while it is cold. False for all endpoints
 * until the membership view has settled after a start or a pause of the process.
 */
bool ownsColdEndpoint(const gate_state& gate, const endpoint_state& endpoint, time_point now);

/** The levels of paces to send in this round of gossip: a bounded number of those that have been sent least often. Not thread safe: counts the round. */
std::vector<pace_update> nextPaceUpdates(gate_state& gate, time_point now);

/** Number of endpoints that are cold or get a part of their objects only, because of their pace. Thread safe on a const object. */
std::size_t pacedEndpoints(const gate_state& gate, time_point now);

} // namespace lhub
