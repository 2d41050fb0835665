/** @file health_type.h Health of endpoints as one VM sees it, from its own requests and their responses only. */
#pragma once

#include "core/time_type.h"
#include <cstdint>

namespace lhub {

/** What an attempt shows about the health of its endpoint. */
enum class health_signal {
    Success, ///< A complete response.
    Refused, ///< The endpoint refused the request before it ran, to shed load.
    Unreachable, ///< No connection could be established.
    Failure, ///< A lost, truncated or malformed response, or an error response.
    Overdue, ///< No response after several times the expected time.
};

/** Health of one endpoint as one VM sees it. */
struct endpoint_health {
    double failureRate = 0; ///< Exponentially weighted part of recent attempts that failed, 0 to 1.
    std::uint32_t consecutiveFailures = 0; ///< Failures since the last success or ejection.
    std::uint32_t attemptsSinceEjection = 0; ///< Attempts since the last ejection; saturates at MinAttemptsForRate.
    std::uint32_t consecutiveEjections = 0; ///< Ejections since the last success; each doubles the length of the next.
    time_point ejectedUntil {}; ///< It gets no requests before this time.
    bool onTrial = false; ///< It was ejected and has not succeeded since: it gets one attempt at a time.
    double slowness = 1; ///< Its response time relative to the expected one, when last measured; 1 is as expected.
    time_point slownessMeasuredAt {}; ///< When slowness was last measured.
    double workFactor = 1; ///< Processing times on its machine relative to the usual ones, as last reported by the endpoint; 1 before the first report.
    double lastingWorkFactor = 1; ///< Part of the reports that lasts: moving average of what reports at least MinLastingTime apart have in common, at the time of the last report.
    double comparedWorkFactor = 1; ///< Report that the next one is compared with.
    time_point comparedAt {}; ///< When that was reported.
    time_point workFactorReportedAt {}; ///< When workFactor was reported.
};

} // namespace lhub
