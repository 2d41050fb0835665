/** @file health.cpp Outlier ejection and measured slowness. */
#include "health/health_func.h"

#include <algorithm>
#include <cmath>

namespace lhub {

static constexpr double FailureGain = 0.2; ///< Weight of the newest attempt in the failure rate.
static constexpr double EjectAtRate = 0.45; ///< Failure rate that ejects; grey endpoints fail about half.
static constexpr std::uint32_t EjectAfterSamples = 6; ///< Fewer attempts are no evidence for a rate.
static constexpr std::uint32_t EjectInRow = 3; ///< Failures in a row that eject.
static constexpr std::uint32_t EjectUnreachableInRow = 2; ///< The same when the last one was no connection.
static constexpr milliseconds FirstEjection { 1500 }; ///< Length of the first ejection.
static constexpr std::uint32_t MostDoublings = 2; ///< Longest ejection: 6 s.
static constexpr double SlownessGain = 0.3; ///< Weight of the newest latency.
static constexpr double MostSlowness = 20; ///< Bound on a single measurement.
static constexpr double SlownessFadeSeconds = 4; ///< Time in which an old measurement fades to a third.

static void eject(endpoint_health& health, time_point now)
{
    const auto doublings = std::min(health.ejections, MostDoublings);
    health.ejectedUntil = now + FirstEjection * (1 << doublings);
    ++health.ejections;
    health.onTrial = true;
    health.samples = 0;
    health.failures = 0;
    health.inRow = 0;
}

bool noteSignal(endpoint_health& health, health_signal signal, time_point now)
{
    if (signal == health_signal::Good) {
        health.failures *= 1 - FailureGain;
        health.inRow = 0;
        health.samples = std::min(health.samples + 1, EjectAfterSamples);
        if (health.onTrial) {
            health.onTrial = false;
            health.ejections = 0;
        }
        return false;
    }
    if (isEjected(health, now))
        return false;
    health.failures += (1 - health.failures) * FailureGain;
    health.samples = std::min(health.samples + 1, EjectAfterSamples);
    ++health.inRow;
    const auto enough = signal == health_signal::Unreachable ? EjectUnreachableInRow : EjectInRow;
    const bool inRow = signal != health_signal::Refused && health.inRow >= enough;
    const bool byRate = health.samples >= EjectAfterSamples && health.failures >= EjectAtRate;
    if (!inRow && !byRate && !health.onTrial)
        return false;
    eject(health, now);
    return true;
}

void noteLatency(endpoint_health& health, milliseconds measured, milliseconds expected, time_point now)
{
    const double ratio = static_cast<double>(measured.count()) / std::max<double>(1, static_cast<double>(expected.count()));
    const double present = slownessAt(health, now);
    health.slowness = present + (std::clamp(ratio, 0.0, MostSlowness) - present) * SlownessGain;
    health.slownessAt = now;
}

bool isEjected(const endpoint_health& health, time_point now) { return now < health.ejectedUntil; }

double slownessAt(const endpoint_health& health, time_point now)
{
    const double age = std::chrono::duration<double>(now - health.slownessAt).count();
    return 1 + (health.slowness - 1) * std::exp(-std::max(0.0, age) / SlownessFadeSeconds);
}

} // namespace lhub
