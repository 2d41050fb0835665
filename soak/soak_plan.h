/** @file soak_plan.h Random plan of the faults and planned operations of a soak; the same seed gives the same plan. */
#pragma once

#include "core/name_table.h"
#include "core/time_type.h"
#include <cstdint>
#include <vector>

namespace lhub::soak {

/** Faults, and operations that operators plan. A gate is a process of lhub-gate. */
enum class step_kind {
    KillGate, ///< SIGKILL; started again.
    StopGate, ///< SIGTERM, then SIGKILL after the grace time; started again. Planned.
    PauseGate, ///< SIGSTOP, later SIGCONT.
    HangUpGate, ///< SIGHUP. Planned.
    RollGates, ///< Rolling restart: SIGTERM to all, one after the other. Planned.
    StoreDown, ///< The store refuses all calls.
    StoreSilent, ///< The store does not respond.
    StoreLosesReplies, ///< The store carries out a few writes without a response.
    StoreForgets, ///< The store compacts its history, so that watches cannot resume.
    CutFromStore, ///< The proxy between one VM and the store withholds all bytes.
    EndpointMisbehaves, ///< An endpoint sends wrong, incomplete, late or no responses.
    SlowPath, ///< The proxy of an endpoint delays bytes.
    ResetPath, ///< All connections to an endpoint are reset.
    SilentPath, ///< The proxy of an endpoint withholds all bytes of open connections; new ones work.
    OneWayPath, ///< The proxy of an endpoint withholds the bytes from it.
    EndpointLeaves, ///< An endpoint drains and is removed; another one joins. Planned.
    EvacuateZone, ///< A zone is evacuated for a while. Planned.
    NewConfig, ///< The next version of the configuration is published. Planned.
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
    milliseconds at { 0 }; ///< Since the start of the traffic.
    step_kind kind = step_kind::KillGate;
    unsigned target = 0; ///< Random number that selects the VM or endpoint, modulo their count.
    unsigned variant = 0; ///< Random number that selects the behaviour of an endpoint or the delay of a proxy.
    milliseconds duration { 0 }; ///< Duration of the effect.
};

/** What a soak consists of. */
enum class soak_scenario {
    Faults, ///< Faults and planned operations; fast endpoints and busy connections.
    Planned, ///< Planned operations only, most of them stops; endpoints are as slow as the users' and callers keep idle connections.
    Habits, ///< Stops of VMs in turn only, some overlapping; callers have the users' habits, see soak_habit.h.
};

/** Names of scenarios on the command line. */
inline constexpr std::array<name_row<soak_scenario>, 3> ScenarioNames { {
    { soak_scenario::Faults, "faults" },
    { soak_scenario::Planned, "planned" },
    { soak_scenario::Habits, "habits" },
} };

/** Whether operators or platforms do this on purpose; no request may lose its response by it. Thread safe. */
bool isPlanned(step_kind kind);

/** Whether a scenario consists of planned steps only. Thread safe. */
inline bool isPlannedOnly(soak_scenario scenario) { return scenario != soak_scenario::Faults; }

/** The steps of a soak, in order. Steps come in series and overlap; none begins in the last third of @p duration. Thread safe. */
std::vector<soak_step> planSoak(std::uint64_t seed, milliseconds duration, soak_scenario scenario = soak_scenario::Faults);

/** Whether no unplanned step is in effect from @p margin before @p from to @p margin after @p until. Thread safe. */
bool isCalm(const std::vector<soak_step>& plan, milliseconds from, milliseconds until, milliseconds margin);

} // namespace lhub::soak
