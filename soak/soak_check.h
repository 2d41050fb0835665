/** @file soak_check.h Checks the guarantees against what callers and endpoints observed. */
#pragma once

#include "soak/soak_habit.h"
#include "soak/soak_plan.h"
#include <map>
#include <string>

namespace lhub::soak {

/** One request of a caller. */
struct request_record {
    std::string id; ///< Unique in the soak.
    bool repeatable = true; ///< Whether it may run more than once.
    caller_habit habit = caller_habit::Any; ///< Of its caller.
    unsigned gate = 0; ///< Index of the VM that it was sent to.
    unsigned gateStart = 0; ///< Number of starts of that VM when the connection was opened.
    unsigned configVersion = 0; ///< Configuration version whose route the request uses; 0 for requests to routes that every version has.
    milliseconds sentAt { 0 }; ///< Since the start of the traffic.
    milliseconds endedAt { 0 }; ///< Since the start of the traffic; 0 until the response was read or the connection failed.
    unsigned status = 0; ///< HTTP status; 0 without a complete response.
    bool wrong = false; ///< The response has status 2xx, but belongs to another request or does not come from an endpoint.
    bool alone = false; ///< No other request was sent before its response, on a connection that was open when it was sent.
    bool inOrder = true; ///< False when the response names another request id.
};

/** What was done and observed in a soak. */
struct soak_record {
    std::vector<soak_step> plan; ///< All steps, in order.
    std::vector<request_record> requests; ///< Of all callers, in the order of sending.
    soak_scenario scenario = soak_scenario::Faults;
    std::map<std::pair<unsigned, unsigned>, milliseconds> stops; ///< When VMs got SIGTERM since the start of the traffic, by index and number of starts.
    std::map<std::string, unsigned> runs; ///< How often endpoints ran each request, by request id.
    std::vector<std::string> processFailures; ///< Messages: a process ended unasked, exceeded its limits or could not be started.
    std::vector<std::string> lateRequests; ///< Messages: requests reached a leaving endpoint or an evacuated zone too late.
    milliseconds duration { 0 }; ///< Duration of the traffic.
};

/** Bounds of the guarantees that checkSoak() uses. */
struct soak_bounds {
    double retryRatio = 0.2; ///< Retries allowed per request.
    double retrySlack = 64; ///< Retries allowed on top, in each window.
    milliseconds retryWindow { 10'000 };
    milliseconds stabilityTime { 4000 }; ///< Time without unplanned steps, before and after, for which time limits are guaranteed.
    bool checkTiming = true; ///< Whether time limits and lost responses are checked; a busy machine delays everything.
};

/** @return the violated guarantees, one line each; each begins with the name of the check and a colon. Thread safe. */
std::vector<std::string> checkSoak(const soak_record& record, const soak_bounds& bounds);

} // namespace lhub::soak
