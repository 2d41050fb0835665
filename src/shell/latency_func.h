/** @file latency_func.h Counts and quantiles of latencies, by Boost.Accumulators. */
#pragma once

#include <sstream> // the quantile's header uses it without including it

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace lhub {

namespace acc = boost::accumulators;

/** Accumulated latencies in milliseconds. */
struct latency_stats {
    acc::accumulator_set<double,
        acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square_quantile>>
        values; ///< All values since the start.

    latency_stats();
};

/** Adds one latency in milliseconds. */
void addLatency(latency_stats& stats, double ms);

/** The quantile, 0.5 to 0.99, in milliseconds; 0 without values. */
double latencyQuantile(const latency_stats& stats, double quantile);

} // namespace lhub
