/** @file load_type.h Load of simulated callers, and counts of the outcomes. */
#pragma once

#include "core/time_type.h"
#include "shell/latency_func.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lhub {

/** Requests of one kind, sent at random intervals. */
struct load_stream {
    std::string service;
    std::string method = "GET"; ///< HTTP method; one that is not idempotent gets an idempotency key.
    std::string path = "/"; ///< Path and query at the endpoint.
    std::uint32_t requestsPerSecond = 1; ///< Mean rate; the arrivals are a Poisson process.
    std::uint32_t deadlineMs = 2000; ///< Sent in the header Lhub-Deadline-Ms.
    std::uint32_t bodyBytes = 0; ///< Size of the request body.
    std::vector<std::string> clientIps; ///< A look-up names a random one of these; 127.0.0.1 when empty.
};

/** Outcomes of the requests of one stream, as counts. */
struct load_result {
    std::uint64_t requests = 0; ///< Sent.
    std::uint64_t whole = 0; ///< Complete response that belongs to the request.
    std::uint64_t wrong = 0; ///< Response with status 200 that is short or belongs to another request.
    std::uint64_t refused = 0; ///< Error response with the verdict not_run.
    std::uint64_t uncertain = 0; ///< Verdict may_have_run, or no response to a request that is not idempotent.
    std::uint64_t repeated = 0; ///< Refused with 409: the idempotency key was used before.
    std::uint64_t lost = 0; ///< Error response without one of these verdicts, or no entry VM responded.
    std::uint64_t failovers = 0; ///< Attempts after which the caller went on to its next entry VM.
    std::uint64_t lookups = 0; ///< Look-ups sent, failed ones as well.
    std::map<std::string, std::uint64_t> reasons; ///< Requests by the reason why they got no response with status 200.
    latency_stats latency; ///< Of responses with status 200, from the look-up on, in milliseconds.
};

/** What runLoad() sends. */
struct load_plan {
    std::vector<load_stream> streams; ///< Sent concurrently.
    std::vector<std::string> entries; ///< Entry VMs that look-ups are sent to, IP:port.
    seconds duration { 10 }; ///< Time during which requests are sent.
    std::uint64_t seed = 1; ///< Of the random numbers; also part of the request ids.
};

} // namespace lhub
