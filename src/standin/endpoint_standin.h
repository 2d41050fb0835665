/** @file endpoint_standin.h Small stand-ins for the users' endpoints, for tests and demos only. */
#pragma once

#include "net/http_func.h"
#include <memory>

namespace lhub {

/** One endpoint. */
struct endpoint_standin {
    std::string service; ///< The service it serves.
    std::string name; ///< Identity.
    std::uint32_t slots = 3; ///< Requests it serves at once; more are shed.
    std::uint32_t serviceMs = 20; ///< Time of one request unless its query says "ms".
    std::uint32_t inflight = 0; ///< Now.
    std::uint32_t highest = 0; ///< Most at once, ever.
    std::uint64_t served = 0; ///< Requests run.
    std::uint64_t shed = 0; ///< Requests refused because all slots were taken.
    std::uint64_t afterLeaving = 0; ///< Requests that arrived although it was leaving.
    bool leaving = false; ///< Says so in probes and answers.
    std::map<std::string, std::uint32_t> runs; ///< Runs of requests that may not be repeated, by their key.
};

/** All endpoints of one process, by their address. */
using endpoint_standins = std::map<std::string, std::shared_ptr<endpoint_standin>>;

/** Serves one endpoint. The answer repeats the request id and target, so that a caller can check it is its own. */
http_handler makeEndpointHandler(const std::shared_ptr<endpoint_standin>& endpoint);

/** Serves "/v1/endpoints" (totals and state) and "/v1/leave?endpoint=SERVICE/NAME&leaving=1". */
http_handler makeEndpointControl(const std::shared_ptr<endpoint_standins>& endpoints);

} // namespace lhub
