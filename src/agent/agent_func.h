/** @file agent_func.h The reducer of an agent. */
#pragma once

#include "agent/agent_type.h"

namespace lhub {

/** State of an agent that has just started. Thread safe. */
agent_state makeAgent(const vm_config& self, const std::vector<std::string>& seeds);

/** Applies one event. Never reads a clock, a socket or a random device. Not thread safe. */
void reduceAgent(agent_state& state, time_point now, const agent_event& event, agent_effects& effects);

/** Whether this agent watches the store, or follows another agent of its zone. */
agent_source sourceOf(const agent_state& state);

} // namespace lhub
