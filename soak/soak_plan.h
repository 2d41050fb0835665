/** @file soak_plan.h What goes wrong in a soak, and when: the same for the same seed. */
#pragma once

#include "core/name_table.h"
#include "core/time_type.h"
#include <cstdint>
#include <vector>

namespace lhub::soak {

/** Something that is done to the system. */
enum class step_kind {
    KillGate, ///< SIGKILL; started again.
    StopGate, ///< SIGTERM, SIGKILL after the grace time; started again. Planned.
    PauseGate, ///< SIGSTOP, later SIGCONT.
    HangUpGate, ///< SIGHUP. Planned.
    RollGates, ///< SIGTERM to all, one after the other. Planned.
    StoreDown, ///< The store refuses all calls.
    StoreSilent, ///< The store answers nothing.
    StoreLosesReplies, ///< The store carries writes out and does not answer.
    StoreForgets, ///< The store forgets its history.
    CutFromStore, ///< One VM's connections to the store fall silent.
    EndpointMisbehaves, ///< An endpoint spoils, loses or delays its answers.
    SlowPath, ///< The path to an endpoint delays bytes.
    ResetPath, ///< All connections to an endpoint are reset.
    SilentPath, ///< Connections to an endpoint fall silent; new ones work.
    OneWayPath, ///< Nothing comes back from an endpoint.
    EndpointLeaves, ///< An endpoint drains and goes; another one joins. Planned.
    EvacuateZone, ///< A zone gets nothing for a while. Planned.
    NewConfig, ///< The next version of the configuration. Planned.
};

/** Names of steps, as they are printed. */
inline constexpr std::array<name_row<step_kind>, 18> StepNames { {
    { step_kind::KillGate, "kill" },
    { step_kind::StopGate, "stop" },
    { step_kind::PauseGate, "pause" },
    { step_kind::HangUpGate, "hang_up" },
    { step_kind::RollGates, "roll" },
    { step_kind::StoreDown, "store_down" },
    { step_kind::StoreSilent, "store_silent" },
    { step_kind::StoreLosesReplies, "store_loses_replies" },
    { step_kind::StoreForgets, "store_forgets" },
    { step_kind::CutFromStore, "cut_from_store" },
    { step_kind::EndpointMisbehaves, "endpoint_misbehaves" },
    { step_kind::SlowPath, "slow_path" },
    { step_kind::ResetPath, "reset_path" },
    { step_kind::SilentPath, "silent_path" },
    { step_kind::OneWayPath, "one_way_path" },
    { step_kind::EndpointLeaves, "endpoint_leaves" },
    { step_kind::EvacuateZone, "evacuate" },
    { step_kind::NewConfig, "new_config" },
} };

/** One step of the plan. */
struct soak_step {
    milliseconds at { 0 }; ///< From the start of traffic.
    step_kind kind = step_kind::KillGate; ///< What is done.
    unsigned target = 0; ///< Which one, modulo the number there are.
    unsigned variant = 0; ///< Which way, modulo the number of ways.
    milliseconds length { 0 }; ///< How long it lasts.
};

/** Whether operators and platforms do this on purpose; it must cut nobody off. */
bool isPlanned(step_kind kind);

/** The steps of a soak, in order. Steps come in series and overlap; the last third is left for recovery. Thread safe. */
std::vector<soak_step> planSoak(std::uint64_t seed, milliseconds length);

/** Whether nothing unplanned goes on within @p margin of the span. Thread safe. */
bool isCalm(const std::vector<soak_step>& plan, milliseconds from, milliseconds until, milliseconds margin);

} // namespace lhub::soak
