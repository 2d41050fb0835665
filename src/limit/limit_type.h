/** @file limit_type.h Limits that hold for all VMs together without communication between them. */
#pragma once

#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <deque>

namespace lhub {

/** Number of events in each of the last seconds. */
struct per_second_counts {
    static constexpr std::size_t MaxWindowSeconds = 16; ///< Longest window that eventsWithin() can count.
    std::array<std::uint32_t, MaxWindowSeconds> ring {}; ///< Events of a second, at the index second modulo MaxWindowSeconds.
    std::int64_t newestSecond = 0; ///< Second of the newest event, in seconds of the monotonic clock.
};

/** Attempts of one service at one VM. */
struct retry_counts {
    per_second_counts requests; ///< Requests of callers.
    per_second_counts extraAttempts; ///< Retries and hedges.
};

/** Limit on retries and hedges of all VMs together. */
struct retry_bounds {
    double ratio = 0.1; ///< Retries for each request.
    double slack = 10; ///< Additional retries in each window.
    seconds window { 10 }; ///< Length of the window.
};

/** Requests that this VM sent to one endpoint lately. */
struct recent_dispatches {
    std::deque<time_point> sentTimes; ///< Oldest first.
};

/** Weight of this VM among all VMs, each weighted by the requests that it is expected to have. */
struct quota_share {
    double before = 0; ///< Sum of the weights of the VMs whose names precede that of this VM.
    double own = 0; ///< Weight of this VM.
    double all = 0; ///< Sum of the weights of all VMs.
};

/** Limits on what one VM may have open at the same time. */
struct resource_limits {
    std::size_t callerConnections = 0; ///< Connections of callers.
    std::size_t idleConnections = 0; ///< Idle connections to endpoints, kept for reuse.
    std::size_t openRequests = 0; ///< Requests in progress. Each uses one connection to an endpoint, or two with a hedge.
    std::uint64_t bodyBytes = 0; ///< Bodies of requests in memory: those that are read, and those that an attempt may still send.
};

} // namespace lhub
