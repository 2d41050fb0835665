/** @file soak_plan.cpp Random plan of the faults and planned operations of a soak. */
#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace lhub::soak {

static constexpr int MaxGapMs = 700; ///< Longest time from the start of a step to the start of the next one of its series.
static constexpr int MaxPauseMs = 1500; ///< Longest time added to that gap between two series.
static constexpr int MinStepMs = 300; ///< Shortest duration of a step.
static constexpr int MaxStepMs = 4000; ///< Longest duration of a step.

bool isPlanned(step_kind kind)
{
    switch (kind) {
    case step_kind::StopGate:
    case step_kind::HangUpGate:
    case step_kind::RollGates:
    case step_kind::EndpointLeaves:
    case step_kind::EvacuateZone:
    case step_kind::NewConfig:
        return true;
    default:
        return false;
    }
}

/** Stops of VMs in turn, one in each of equal parts of the time up to @p until. */
static std::vector<soak_step> planStops(std::mt19937_64& random, milliseconds until)
{
    static constexpr unsigned Stops = 6;
    const auto part = until / Stops;
    const auto first = static_cast<unsigned>(random() >> 40);
    std::vector<soak_step> plan;
    for (unsigned i = 0; i < Stops; ++i) {
        const milliseconds offset { std::uniform_int_distribution<milliseconds::rep>(0, part.count() - 1)(random) };
        plan.push_back({ part * i + offset, step_kind::StopGate, first + i, 0, milliseconds(0) });
    }
    return plan;
}

std::vector<soak_step> planSoak(std::uint64_t seed, milliseconds duration, soak_scenario scenario)
{
    std::mt19937_64 random(seed);
    const auto between = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
    // An endpoint can misbehave in many ways, so a quarter of the steps are of that kind; the others are chosen evenly from all kinds.
    const auto chooseKind = [&] {
        if (scenario == soak_scenario::Planned) {
            static constexpr std::array Kinds { step_kind::RollGates, step_kind::HangUpGate, step_kind::EndpointLeaves, step_kind::EvacuateZone, step_kind::NewConfig };
            return between(0, 1) == 0 ? step_kind::StopGate : Kinds[static_cast<std::size_t>(between(0, Kinds.size() - 1))];
        }
        const bool misbehaves = between(0, 3) == 0;
        const auto any = static_cast<step_kind>(between(0, static_cast<int>(StepNames.size()) - 1));
        return misbehaves ? step_kind::EndpointMisbehaves : any;
    };
    const auto until = duration * 2 / 3;
    if (scenario == soak_scenario::Habits)
        return planStops(random, until);
    std::vector<soak_step> plan;
    milliseconds at { between(500, 1500) };
    while (at < until) {
        // A series: several steps shortly after one another, of the same kind or of random kinds.
        const bool same = between(0, 2) == 0;
        auto kind = chooseKind();
        for (int count = between(1, 6); count > 0 && at < until; --count) {
            if (!same)
                kind = chooseKind();
            plan.push_back({ at, kind, static_cast<unsigned>(random() >> 40), static_cast<unsigned>(random() >> 40), milliseconds(between(MinStepMs, MaxStepMs)) });
            at += milliseconds(between(0, MaxGapMs));
        }
        at += milliseconds(between(0, MaxPauseMs));
    }
    return plan;
}

bool isCalm(const std::vector<soak_step>& plan, milliseconds from, milliseconds until, milliseconds margin)
{
    return std::none_of(plan.begin(), plan.end(), [&](const soak_step& step) {
        return !isPlanned(step.kind) && step.at - margin < until && step.at + step.duration + margin > from;
    });
}

} // namespace lhub::soak
