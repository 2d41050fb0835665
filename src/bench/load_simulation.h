/** @file load_simulation.h Plays callers and endpoints against the reducer of lhub-gate, in simulated time. */
#pragma once

#include "admission/admission_type.h"
#include "core/time_type.h"
#include <cstdint>
#include <string>
#include <vector>

namespace lhub {

/** Who decides where a request goes. */
enum class play_policy {
    Gate, ///< The reducer of lhub-gate, one a VM.
    LeastInFlight, ///< Each VM takes the endpoint of its region with the fewest own requests; nothing is refused.
    Random, ///< Any endpoint of its region; nothing is refused.
};

/** One zone of the play. */
struct play_zone {
    std::string name; ///< Identity.
    std::string region; ///< Where it lies.
    unsigned vms = 2; ///< Entry VMs.
    unsigned endpoints = 4; ///< Endpoints.
    double perSecond = 40; ///< Requests of its callers.
    unsigned objects = 60; ///< Objects that its callers ask for, all equally often.
};

/** Something that goes wrong in the play. */
struct play_fault {
    time_point::duration from {}; ///< From the start.
    time_point::duration until {}; ///< Its end.
    double slow = 1; ///< Factor on the work of the affected endpoints.
    double shed = 0; ///< Part of their requests that they refuse.
    unsigned every = 4; ///< Each so-manieth endpoint is affected.
    bool gone = false; ///< They take nothing, and all VMs know it.
    double burst = 1; ///< Factor on all requests a second meanwhile.
};

/** What is played. */
struct simulation_settings {
    std::vector<play_zone> zones; ///< All zones.
    play_policy policy = play_policy::Gate; ///< Who decides.
    double load = 1; ///< Factor on all requests a second.
    std::vector<play_fault> faults; ///< What goes wrong.
    admission_settings admission; ///< Of the gate.
    double lateWorth = 0.2; ///< Worth of a late answer; one on time is worth 1.
    unsigned slots = 3; ///< Requests that an endpoint serves at the same time.
    unsigned queue = 9; ///< Requests that wait there at most.
    unsigned remembered = 32; ///< Objects that an endpoint remembers.
    double warmMs = 108; ///< Work on a remembered object.
    double coldMs = 360; ///< Work on another.
    milliseconds objective { 400 }; ///< An answer within it is on time.
    milliseconds patience { 2000 }; ///< Callers wait so long.
    bool repeatable = true; ///< Whether requests may run twice.
    seconds length { 20 }; ///< Length of the play.
    std::uint32_t seed = 20261204; ///< Of all draws.
};

/** What callers got. */
struct play_result {
    unsigned asked = 0; ///< Requests of callers, without their own retries.
    unsigned onTime = 0; ///< Answered within the objective.
    unsigned late = 0; ///< Answered later.
    unsigned refused = 0; ///< Ended by a refusal.
    unsigned failed = 0; ///< Ended otherwise, or not at all.
    unsigned ranTwice = 0; ///< Requests that ran more than once.
    unsigned arrivals = 0; ///< Arrivals at endpoints.
    unsigned rejected = 0; ///< Arrivals that endpoints refused.
    unsigned slowestRefusalMs = 0; ///< Longest time that a refused request was held.
    std::vector<double> worthBySecond; ///< Worth earned by the requests of each second, relative to all of them.
    std::vector<double> onTimeByZone; ///< Part answered on time, in the order of the zones.
};

/** Plays; the same settings give the same result. Thread safe. */
play_result simulateLoad(const simulation_settings& settings);

} // namespace lhub
