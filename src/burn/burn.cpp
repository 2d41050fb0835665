/** @file burn.cpp Service-level burn over paired windows. */
#include "burn/burn_func.h"

namespace lhub {

static std::int64_t minuteOf(time_point now)
{
    return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch()).count();
}

void noteEvent(burn_series& series, bool good, std::uint32_t weight, time_point now)
{
    if (series.buckets.empty())
        series.buckets.resize(burn_series::Minutes);
    const auto minute = minuteOf(now);
    auto& bucket = series.buckets[static_cast<std::size_t>(minute) % burn_series::Minutes];
    if (bucket.minute != minute)
        bucket = { minute, 0, 0 };
    (good ? bucket.good : bucket.bad) += weight;
}

burn_sum sumEvents(const burn_series& series, std::chrono::minutes window, time_point now)
{
    const auto last = minuteOf(now);
    const auto first = last - window.count() + 1;
    burn_sum sum;
    for (const auto& bucket : series.buckets) {
        if (bucket.minute < first || bucket.minute > last)
            continue;
        sum.good += bucket.good;
        sum.bad += bucket.bad;
    }
    return sum;
}

double burnRate(const burn_sum& sum, const burn_objective& objective)
{
    constexpr double WholePermille = 1000;
    const auto total = static_cast<double>(sum.good + sum.bad);
    const double allowed = (WholePermille - objective.permille) / WholePermille;
    if (total == 0 || allowed <= 0)
        return 0;
    return static_cast<double>(sum.bad) / total / allowed;
}

burn_state judgeBurn(
    const burn_sum& longSum, const burn_sum& shortSum, const burn_pair& pair, const burn_objective& objective)
{
    if (longSum.good + longSum.bad == 0)
        return burn_state::NoData;
    const bool both = burnRate(longSum, objective) >= pair.threshold && burnRate(shortSum, objective) >= pair.threshold;
    return both ? burn_state::Burning : burn_state::Quiet;
}

double hoursToExhaustion(double rate) { return rate <= 0 ? -1 : static_cast<double>(BudgetPeriod.count()) / rate; }

} // namespace lhub
