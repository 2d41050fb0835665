/** @file limit_type.h Limits that hold over all VMs together without any agreement between them. */
#pragma once

#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <deque>

namespace lhub {

/** Events a second over the last seconds. */
struct second_counts {
    static constexpr std::size_t Seconds = 16; ///< Longest window that can be asked for.
    std::array<std::uint32_t, Seconds> counts {}; ///< Ring of counts a second.
    std::int64_t newest = 0; ///< Second of the newest count.
};

/** Retries of one service at one VM. */
struct retry_window {
    second_counts requests; ///< First attempts.
    second_counts extras; ///< Further attempts.
};

/** What bounds retries, over all VMs together. */
struct retry_bounds {
    double ratio = 0.1; ///< Retries for each request.
    double slack = 10; ///< Retries on top, in each window.
    seconds window { 10 }; ///< Length of the window.
};

/** Dispatches to one cold endpoint by one VM, within the last second. */
struct cold_limit {
    std::deque<time_point> sent; ///< Oldest first.
};

/** What one VM may have open at the same time. */
struct serve_room {
    std::size_t callers = 0; ///< Connections of callers.
    std::size_t idleConnections = 0; ///< Kept connections to endpoints.
    std::size_t requests = 0; ///< Requests in progress; each needs a connection to an endpoint, or two.
    std::uint64_t bodyBytes = 0; ///< Bodies of requests, held or being read.
};

} // namespace lhub
