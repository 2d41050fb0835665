/** @file load_type.h Load that callers make, and what came of it. */
#pragma once

#include "core/time_type.h"
#include "shell/latency_func.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lhub {

/** One stream of requests with random arrivals. */
struct load_stream {
    std::string service; ///< What is asked for.
    std::string method = "GET"; ///< HTTP method; POST carries an idempotency key.
    std::string path = "/"; ///< Path and query at the endpoint.
    std::uint32_t perSecond = 1; ///< Mean rate of the arrivals, which are Poisson.
    std::uint32_t deadlineMs = 2000; ///< Sent along with each request.
    std::uint32_t bodyBytes = 0; ///< Size of each request's body.
    std::vector<std::string> clients; ///< IPs in whose name look-ups are made.
};

/** What became of the requests of one stream. */
struct load_result {
    std::uint64_t requests = 0; ///< Sent.
    std::uint64_t whole = 0; ///< The caller's own whole answer.
    std::uint64_t wrong = 0; ///< Somebody else's answer, or a short one taken as whole.
    std::uint64_t refused = 0; ///< Refused as not run.
    std::uint64_t uncertain = 0; ///< May have run.
    std::uint64_t repeated = 0; ///< Refused because the key was used before.
    std::uint64_t lost = 0; ///< No answer with a verdict: cut, or no entry VM reachable.
    std::uint64_t second = 0; ///< The first entry VM could not be reached; another one was used.
    std::uint64_t lookups = 0; ///< Look-ups made.
    std::map<std::string, std::uint64_t> reasons; ///< Reasons of refusals and losses.
    latency_stats latency; ///< Of whole answers, in milliseconds.
};

/** A whole run. */
struct load_plan {
    std::vector<load_stream> streams; ///< All at the same time.
    std::vector<std::string> entries; ///< Entry VMs for look-ups, IP:port.
    seconds duration { 10 }; ///< How long requests are sent.
    std::uint64_t seed = 1; ///< Of the arrivals.
};

} // namespace lhub
