/** @file route_type.h The routing configuration: routes, services and limits for callers. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lhub {

/** One of the services that the requests of a route are divided over. */
struct route_target {
    std::string service; ///< Name of the service.
    double weight = 1; ///< Its share of the requests, relative to the other targets; 0 for none.
};

/** Which requests go to which services, and under which rules. */
struct route {
    std::string name; ///< Unique name.
    std::string host; ///< Host of the requests; compared in lower case and without port.
    std::string prefix; ///< Prefix of the path; begins and ends with a slash.
    bool repeatable = false; ///< Whether a request may run more than once.
    bool largeAnswers = false; ///< Whether responses are large downloads.
    milliseconds timeout { 0 }; ///< Longest time until the final response; a caller may allow less.
    milliseconds objective { 0 }; ///< A response within this time is on time.
    std::uint32_t maxAttempts = 1; ///< Maximum number of attempts for one request; attempts that failed to connect are not counted.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool affinity = false; ///< Whether requests for one object go to one endpoint, which responds faster when it handled the object recently.
    std::vector<route_target> targets; ///< At least one; each request goes to one of them.
    std::vector<std::string> regions; ///< Regions whose endpoints may get its requests; empty for all.
};

/** Properties of a service's endpoints, from the configuration. */
struct service_rules {
    std::string name; ///< Unique name.
    std::uint32_t maxConnections = 0; ///< Connections that an endpoint accepts from all VMs together.
    milliseconds coldPeriod { 0 }; ///< How long an endpoint is cold after its start; a cold endpoint can serve only a few requests.
    double coldRequestsPerSecond = 0; ///< Requests a second that a cold endpoint can serve.
};

/** Limits on requests and connections of callers. */
struct caller_limits {
    std::uint32_t maxHeaderBytes = 16384; ///< Maximum size of a request's head.
    std::uint64_t maxBodyBytes = 1 << 20; ///< Maximum size of a request's body.
    milliseconds headerTimeout { 3000 }; ///< Timeout for a request's head, from its first byte.
    milliseconds idleTimeout { 15000 }; ///< Timeout for a connection without a request.
};

/** One version of the routing configuration. */
struct route_config {
    std::uint64_t version = 0; ///< Set by the operator; each new configuration has a higher one.
    std::vector<route> routes; ///< All routes.
    std::map<std::string, service_rules> services; ///< By name.
    caller_limits limits; ///< Limits on callers, for all routes.
};

} // namespace lhub
