/** @file agent_func.h The reducer of the agent. */
#pragma once

#include "agent/agent_type.h"

namespace lhub {

/**
 * Initial state of an agent. Thread safe.
 * @param self how this VM registers itself.
 * @param seeds addresses of agents from the settings file.
 */
agent_state makeAgent(const vm_config& self, const std::vector<std::string>& seeds);

/** Applies one event and appends its effects. Never reads a clock, a socket or a random device. Not thread safe. */
void reduceAgent(agent_state& state, time_point now, const agent_event& event, agent_effects& effects);

/** Whether this agent watches the store or follows another agent of its zone. */
agent_source sourceOf(const agent_state& state);

} // namespace lhub
