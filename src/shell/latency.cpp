/** @file latency.cpp Latency quantiles by the extended P-square method. */
#include "shell/latency_func.h"

#include <array>

namespace lhub {

static constexpr std::array<double, 5> EstimatedQuantiles { 0.25, 0.5, 0.9, 0.95, 0.99 };

latency_stats::latency_stats()
    : values(acc::extended_p_square_probabilities = EstimatedQuantiles)
{
}

void addLatency(latency_stats& stats, double ms) { stats.values(ms); }

double latencyQuantile(const latency_stats& stats, double quantile)
{
    if (acc::count(stats.values) == 0)
        return 0;
    return acc::quantile(stats.values, acc::quantile_probability = quantile);
}

} // namespace lhub
