/** @file health.cpp Ejection of failing endpoints, and measurement of slow ones. */
#include "health/health_func.h"

#include <algorithm>
#include <cmath>

namespace lhub {

static constexpr double FailureRateGain = 0.2; ///< Weight of the newest attempt in the moving average of the failure rate.
static constexpr double EjectAtFailureRate = 0.45; ///< Failure rate that ejects an endpoint. Partly broken endpoints fail about half of their requests.
static constexpr std::uint32_t MinAttemptsForRate = 6; ///< The failure rate is ignored until an endpoint has had this many attempts since its last ejection.
static constexpr std::uint32_t EjectAfterFailures = 3; ///< Consecutive failures that eject an endpoint.
static constexpr std::uint32_t EjectAfterUnreachable = 2; ///< The same when the endpoint was unreachable in the last one.
static constexpr milliseconds FirstEjection { 1500 }; ///< Length of the first ejection.
static constexpr std::uint32_t MaxEjectionDoublings = 2; ///< Limits an ejection to 6 s.
static constexpr double SlownessGain = 0.3; ///< Weight of the newest measurement in the moving average of slowness.
static constexpr double MaxSlowness = 20; ///< Limit on the slowness of a single measurement.
static constexpr double SlownessDecaySeconds = 4; ///< Time constant of the decay towards 1: after it about a third of the deviation is left.
static constexpr double WorkFactorDecaySeconds = 0.3; ///< The same for the deviation of a reported work time from its average. Machines change it every 600 ms, so that a report holds for half of that on average.
static constexpr milliseconds MinLastingTime { 600 }; ///< A work time that two reports at least this far apart have in common lasts; transient ones change within it.

static void eject(endpoint_health& health, time_point now)
{
    const auto doublings = std::min(health.consecutiveEjections, MaxEjectionDoublings);
    health.ejectedUntil = now + FirstEjection * (1 << doublings);
    ++health.consecutiveEjections;
    health.onTrial = true;
    health.attemptsSinceEjection = 0;
    health.failureRate = 0;
    health.consecutiveFailures = 0;
}

bool recordSignal(endpoint_health& health, health_signal signal, time_point now)
{
    if (signal == health_signal::Success) {
        health.failureRate *= 1 - FailureRateGain;
        health.consecutiveFailures = 0;
        health.attemptsSinceEjection = std::min(health.attemptsSinceEjection + 1, MinAttemptsForRate);
        if (health.onTrial) {
            health.onTrial = false;
            health.consecutiveEjections = 0;
        }
        return false;
    }
    if (isEjected(health, now))
        return false;
    health.failureRate += (1 - health.failureRate) * FailureRateGain;
    health.attemptsSinceEjection = std::min(health.attemptsSinceEjection + 1, MinAttemptsForRate);
    ++health.consecutiveFailures;
    const auto failureLimit = signal == health_signal::Unreachable ? EjectAfterUnreachable : EjectAfterFailures;
    const bool byCount = signal != health_signal::Refused && health.consecutiveFailures >= failureLimit;
    const bool byRate = health.attemptsSinceEjection >= MinAttemptsForRate && health.failureRate >= EjectAtFailureRate;
    if (!byCount && !byRate && !health.onTrial)
        return false;
    eject(health, now);
    return true;
}

void recordLatency(endpoint_health& health, milliseconds measured, milliseconds expected, time_point now)
{
    const double ratio = static_cast<double>(measured.count()) / std::max<double>(1, static_cast<double>(expected.count()));
    const double current = slownessAt(health, now);
    health.slowness = current + (std::clamp(ratio, 0.0, MaxSlowness) - current) * SlownessGain;
    health.slownessMeasuredAt = now;
}

bool isEjected(const endpoint_health& health, time_point now) { return now < health.ejectedUntil; }

double slownessAt(const endpoint_health& health, time_point now)
{
    const double ageSeconds = std::chrono::duration<double>(now - health.slownessMeasuredAt).count();
    return 1 + (health.slowness - 1) * std::exp(-std::max(0.0, ageSeconds) / SlownessDecaySeconds);
}

static double lastingWorkFactorAt(const endpoint_health& health, time_point now)
{
    const double ageSeconds = std::chrono::duration<double>(now - health.workFactorReportedAt).count();
    return 1 + (health.lastingWorkFactor - 1) * std::exp(-std::max(0.0, ageSeconds) / SlownessDecaySeconds);
}

/** The one of two factors that is nearer to 1; 1 if one is above it and the other below. */
static double commonDeviation(double a, double b)
{
    if ((a > 1) != (b > 1))
        return 1;
    return a > 1 ? std::min(a, b) : std::max(a, b);
}

void recordWorkFactor(endpoint_health& health, double factor, time_point now)
{
    double lasting = lastingWorkFactorAt(health, now);
    if (now - health.comparedAt >= MinLastingTime) {
        lasting += (commonDeviation(factor, health.comparedWorkFactor) - lasting) * SlownessGain;
        health.comparedWorkFactor = factor;
        health.comparedAt = now;
    }
    health.lastingWorkFactor = lasting;
    health.workFactor = factor;
    health.workFactorReportedAt = now;
}

double workFactorAt(const endpoint_health& health, time_point now)
{
    const double ageSeconds = std::chrono::duration<double>(now - health.workFactorReportedAt).count();
    return lastingWorkFactorAt(health, now) + (health.workFactor - health.lastingWorkFactor) * std::exp(-std::max(0.0, ageSeconds) / WorkFactorDecaySeconds);
}

} // namespace lhub
