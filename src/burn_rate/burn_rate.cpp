/** @file burn_rate.cpp Burn rate of error budgets over pairs of windows. */
#include "burn_rate/burn_rate_func.h"

namespace lhub {

static std::int64_t minuteOf(time_point now)
{
    return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch()).count();
}

void noteEvent(burn_series& series, bool good, std::uint32_t weight, time_point now)
{
    if (series.buckets.empty())
        series.buckets.resize(burn_series::BucketCount);
    const auto minute = minuteOf(now);
    auto& bucket = series.buckets[static_cast<std::size_t>(minute) % burn_series::BucketCount];
    if (bucket.minute != minute)
        bucket = { minute, 0, 0 };
    (good ? bucket.good : bucket.bad) += weight;
}

event_counts sumEvents(const burn_series& series, std::chrono::minutes window, time_point now)
{
    const auto last = minuteOf(now);
    const auto first = last - window.count() + 1;
    event_counts counts;
    for (const auto& bucket : series.buckets) {
        if (bucket.minute < first || bucket.minute > last)
            continue;
        counts.good += bucket.good;
        counts.bad += bucket.bad;
    }
    return counts;
}

double burnRate(const event_counts& counts, const burn_objective& objective)
{
    constexpr double MaxPermille = 1000;
    const auto total = static_cast<double>(counts.good + counts.bad);
    const double allowed = (MaxPermille - objective.permille) / MaxPermille;
    if (total == 0 || allowed <= 0)
        return 0;
    return static_cast<double>(counts.bad) / total / allowed;
}

burn_state evaluateBurn(
    const event_counts& longCounts, const event_counts& shortCounts, const burn_window_pair& pair,
    const burn_objective& objective)
{
    if (longCounts.good + longCounts.bad == 0)
        return burn_state::NoData;
    const bool aboveThreshold = burnRate(longCounts, objective) >= pair.threshold
        && burnRate(shortCounts, objective) >= pair.threshold;
    return aboveThreshold ? burn_state::Burning : burn_state::Quiet;
}

double hoursToExhaustion(double rate) { return rate <= 0 ? -1 : static_cast<double>(BudgetPeriod.count()) / rate; }

} // namespace lhub
