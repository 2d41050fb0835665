/** @file gate_func.h The reducer of lhub-gate. */
#pragma once

#include "gate/gate_event.h"

namespace lhub {

/** A gate that knows nothing yet but itself. */
gate_state makeGate(gate_identity self, std::uint64_t incarnation);

/** Applies one event. Pure: reads no clock, socket or random device. Not thread safe. */
void reduceGate(gate_state& gate, time_point now, const gate_event& event, gate_effects& effects);

/** Whether callers can be served: a configuration and a list of endpoints are known, and no stop has begun. */
bool isReady(const gate_state& gate);

/** IPs of the entry VMs for a caller of @p region that asks for @p host. Thread safe on const objects. */
std::vector<std::string> lookUp(const gate_state& gate, std::string_view host, std::string_view region, time_point now);

/** Whether this VM alone may send to the cold endpoint: one VM of its region owns it. None in the first seconds after a start. */
bool ownsColdEndpoint(const gate_state& gate, const endpoint_state& endpoint, time_point now);

} // namespace lhub
