/** @file loss_type.h Why a request got no response on time, and how good the forecasts of attempts were. */
#pragma once

#include "core/name_table.h"
#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace lhub {

/** How a request ended, as its caller sees it. */
enum class service_result {
    OnTime, ///< A response of an endpoint within the route's objective.
    Late, ///< A response of an endpoint after it.
    Refused, ///< Refused without having run.
    Failed, ///< Any other end.
};

/** Names of results in logs, metrics and reports. */
inline constexpr std::array<name_row<service_result>, 4> ServiceResultNames { {
    { service_result::OnTime, "on_time" },
    { service_result::Late, "late" },
    { service_result::Refused, "refused" },
    { service_result::Failed, "failed" },
} };

/** First cause for which a request was late or not served. */
enum class loss_cause {
    None, ///< It was on time.
    NotCached, ///< The endpoint was expected to have the object cached, and took as long as for one that is not.
    Uncached, ///< The object was cached nowhere within reach, and this was known.
    Queued, ///< It waited for a slot longer than expected, or was sent although the expected wait made it late.
    EndpointSlow, ///< The endpoint took longer than for an object that is not cached.
    AnswerLost, ///< The endpoint's response was lost, truncated or malformed, or an error.
    Connection, ///< No connection to the endpoint could be established, or a reused one was closed.
    EndpointRefused, ///< The endpoint refused it.
    RefusedForQueue, ///< Refused by this VM: the queue was too long.
    RefusedForTime, ///< Refused by this VM: it could not be served before its deadline.
    RefusedAgain, ///< Refused by this VM, and its caller had come back after an earlier refusal.
    RefusedForShare, ///< Refused by this VM: there was too little room, and its customer had its share.
    OverQuota, ///< Refused by this VM: its customer has used up its quota.
    NotReady, ///< No route, no configuration, no endpoint that may take it, or no room for it in the VM.
    Stopping, ///< This VM stops, and its response might not have been known in time.
    CallerGone, ///< The caller left before its response.
    Deadline, ///< The deadline passed while an attempt that was not overdue was open.
};

/** Names of causes in logs, metrics and reports. */
inline constexpr std::array<name_row<loss_cause>, 17> LossCauseNames { {
    { loss_cause::None, "none" },
    { loss_cause::NotCached, "not_cached" },
    { loss_cause::Uncached, "uncached" },
    { loss_cause::Queued, "queued" },
    { loss_cause::EndpointSlow, "endpoint_slow" },
    { loss_cause::AnswerLost, "answer_lost" },
    { loss_cause::Connection, "connection" },
    { loss_cause::EndpointRefused, "endpoint_refused" },
    { loss_cause::RefusedForQueue, "refused_for_queue" },
    { loss_cause::RefusedForTime, "refused_for_time" },
    { loss_cause::RefusedAgain, "refused_again" },
    { loss_cause::RefusedForShare, "refused_for_share" },
    { loss_cause::OverQuota, "over_quota" },
    { loss_cause::NotReady, "not_ready" },
    { loss_cause::Stopping, "stopping" },
    { loss_cause::CallerGone, "caller_gone" },
    { loss_cause::Deadline, "deadline" },
} };

/** What was expected of an attempt, and how long it took. */
struct attempt_forecast {
    bool expectedCached = false; ///< The endpoint was expected to have the object cached.
    double waitMs = 0; ///< Expected wait for a slot.
    double expectedMs = 0; ///< Expected time until the response, waitMs included.
    double actualMs = 0; ///< Time that it took, or that has passed so far.
    double cachedMs = 0; ///< Expected processing time of a cached object.
    double uncachedMs = 0; ///< Expected processing time of an object that is not cached.
    double networkMs = 0; ///< Network round trip.
};

/** Upper bounds of the histogram of actual time to expected time of an attempt. */
inline constexpr std::array<double, 8> ForecastRatioBounds { 0.5, 0.8, 1.25, 1.6, 2, 3, 5, 10 };

/** Histogram of actual time to expected time; the last bucket is unbounded. */
using forecast_histogram = std::array<std::uint64_t, ForecastRatioBounds.size() + 1>;

/** Most customers with counts of their own; the requests of further ones are counted for the empty name. Bounds memory and metrics. */
inline constexpr std::size_t MaxCountedCustomers = 100;

/** Counts since the start of the process. */
struct loss_counts {
    std::map<std::string, std::array<std::uint64_t, ServiceResultNames.size()>> resultsByService; ///< Requests by result.
    std::map<std::string, std::array<std::uint64_t, ServiceResultNames.size()>> resultsByCustomer; ///< Requests by result, of customers by name.
    std::map<std::string, std::array<std::uint64_t, LossCauseNames.size()>> causesByService; ///< Requests that were not on time, by cause.
    forecast_histogram cachedRatios {}; ///< Attempts at endpoints that were expected to have the object cached.
    forecast_histogram uncachedRatios {}; ///< Other attempts.
    std::uint64_t placedAsCached = 0; ///< Answered attempts that were placed as cached.
    std::uint64_t placedAsCachedWrongly = 0; ///< Those among them that took as long as uncached ones.
};

} // namespace lhub
