/** @file endpoint_standin.h Test servers in place of the users' endpoints, for tests and demos only. */
#pragma once

#include "net/http_func.h"
#include <memory>

namespace lhub {

/** Settings and state of one endpoint. Used on one thread. */
struct endpoint_standin {
    std::string service;
    std::string name; ///< Unique within the service.
    std::uint32_t slots = 3; ///< Most requests that run at once; further ones are refused with 503.
    std::uint32_t serviceMs = 20; ///< Duration of a request whose query has no "ms".
    std::uint32_t inflight = 0; ///< Requests that run now.
    std::uint32_t maxInflight = 0; ///< Most requests that ran at once since the start.
    std::uint64_t served = 0; ///< Requests that got a slot.
    std::uint64_t shed = 0; ///< Requests refused because all slots were taken.
    std::uint64_t afterLeaving = 0; ///< Requests that got a slot while the endpoint was leaving.
    bool leaving = false; ///< Set by the control call; reported in responses to probes and requests.
    std::map<std::string, std::uint32_t> runs; ///< How often each POST with an idempotency key ran, by key.
};

/** All endpoints of one process, by address (IP:port). */
using endpoint_standins = std::map<std::string, std::shared_ptr<endpoint_standin>>;

/**
 * Handler of one endpoint. The first line of a response body holds the request id, the target and the size of the
 * request body, so that a caller can check that the response belongs to its request. The query field "ms" sets how long
 * the request runs, "size" the least size of the response body in bytes.
 */
http_handler makeEndpointHandler(const std::shared_ptr<endpoint_standin>& endpoint);

/**
 * Handler of the control address: "/v1/endpoints" returns counts and state; any other path with the query
 * "endpoint=SERVICE/NAME&leaving=1" marks that endpoint as leaving, with another value of "leaving" as not leaving.
 */
http_handler makeEndpointControl(const std::shared_ptr<endpoint_standins>& endpoints);

} // namespace lhub
