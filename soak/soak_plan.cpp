/** @file soak_plan.cpp What goes wrong in a soak, and when. */
#include "soak/soak_plan.h"

#include <algorithm>
#include <random>

namespace lhub::soak {

static constexpr int LongestGapMs = 700; ///< Between two steps of a series.
static constexpr int LongestPauseMs = 1500; ///< Between two series.
static constexpr int ShortestStepMs = 300; ///< Of steps that last.
static constexpr int LongestStepMs = 4000;

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

std::vector<soak_step> planSoak(std::uint64_t seed, milliseconds length)
{
    std::mt19937_64 draws(seed);
    const auto between = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(draws); };
    // Endpoints fail in many ways: they get a larger part of the steps.
    const auto drawKind = [&] {
        const bool endpoint = between(0, 3) == 0;
        const auto any = static_cast<step_kind>(between(0, static_cast<int>(StepNames.size()) - 1));
        return endpoint ? step_kind::EndpointMisbehaves : any;
    };
    std::vector<soak_step> plan;
    const auto until = length * 2 / 3;
    milliseconds at { between(500, 1500) };
    while (at < until) {
        // A series: the same kind, or kinds at random, several times shortly after one another.
        const bool same = between(0, 2) == 0;
        auto kind = drawKind();
        for (int count = between(1, 6); count > 0 && at < until; --count) {
            if (!same)
                kind = drawKind();
            plan.push_back({ at, kind, static_cast<unsigned>(draws() >> 40), static_cast<unsigned>(draws() >> 40), milliseconds(between(ShortestStepMs, LongestStepMs)) });
            at += milliseconds(between(0, LongestGapMs));
        }
        at += milliseconds(between(0, LongestPauseMs));
    }
    return plan;
}

bool isCalm(const std::vector<soak_step>& plan, milliseconds from, milliseconds until, milliseconds margin)
{
    return std::none_of(plan.begin(), plan.end(), [&](const soak_step& step) {
        return !isPlanned(step.kind) && step.at - margin < until && step.at + step.length + margin > from;
    });
}

} // namespace lhub::soak
