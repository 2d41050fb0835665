/** @file soak_check.h The promises, checked on what callers and endpoints saw. */
#pragma once

#include "soak/soak_plan.h"
#include <map>
#include <string>

namespace lhub::soak {

/** One request of a caller. */
struct request_record {
    std::string id; ///< Its own.
    bool repeatable = true; ///< Whether it may run more than once.
    unsigned gate = 0; ///< The VM that got it.
    unsigned start = 0; ///< Which start of that VM.
    unsigned version = 0; ///< For requests that show which configuration is in force; 0 for others.
    milliseconds sentAt { 0 }; ///< From the start of traffic.
    milliseconds endedAt { 0 }; ///< The same; 0 while it is open.
    unsigned status = 0; ///< Of the answer; 0 without a whole one.
    bool wrong = false; ///< The answer was another request's, not whole, or without an endpoint's signature.
    bool inOrder = true; ///< Its answer came in the order of the requests.
};

/** What was seen. */
struct soak_record {
    std::vector<soak_step> plan; ///< What was done.
    std::vector<request_record> requests; ///< Of all callers.
    std::map<std::string, unsigned> runs; ///< Times that endpoints ran each request.
    std::vector<std::string> ends; ///< Processes that ended by themselves, or grew beyond their bounds.
    std::vector<std::string> late; ///< Requests that reached leaving endpoints or emptied zones too late, in calm times.
    milliseconds length { 0 }; ///< Of the traffic.
};

/** Bounds of the promises that the checks use. */
struct soak_bounds {
    double retryRatio = 0.2; ///< Retries for each request.
    double retrySlack = 64; ///< Retries on top, in each window.
    milliseconds retryWindow { 10'000 }; ///< The window.
    milliseconds stability { 4000 }; ///< Calm after which the promises on time hold.
    bool timed = true; ///< Whether promises on time are checked; a busy machine delays everything.
};

/** What was broken, one line each. Thread safe. */
std::vector<std::string> checkSoak(const soak_record& record, const soak_bounds& bounds);

} // namespace lhub::soak
