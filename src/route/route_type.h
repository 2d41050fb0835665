/** @file route_type.h Routes: which service answers a request, and under which rules. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lhub {

/** One service of a route, with its part of the requests. */
struct route_target {
    std::string service; ///< Name of the service.
    double weight = 1; ///< Part of the requests, relative to the other targets.
};

/** One route. */
struct route {
    std::string name; ///< Identity.
    std::string host; ///< Host of the requests, lower case, without port.
    std::string prefix; ///< Start of the path; begins and ends with a slash.
    bool repeatable = false; ///< Whether a request may run more than once.
    bool largeAnswers = false; ///< Whether answers are large downloads.
    milliseconds timeout { 0 }; ///< Longest time until the final answer.
    milliseconds objective { 0 }; ///< An answer within this time is on time.
    std::uint32_t maxAttempts = 1; ///< Most endpoints that one request may be sent to.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool affinity = false; ///< Whether endpoints answer faster when they handled the same object recently.
    std::vector<route_target> targets; ///< At least one; each request goes to one of them.
    std::vector<std::string> regions; ///< Regions in which it may run; empty for all.
};

/** What the configuration says of a service. */
struct service_rules {
    std::string name; ///< Identity.
    std::uint32_t maxConnections = 0; ///< Connections that an endpoint accepts from all VMs together.
    milliseconds coldPeriod { 0 }; ///< How long an endpoint is cold after its start.
    double coldPerSecond = 0; ///< Requests a second that a cold endpoint tolerates.
};

/** What callers may send. */
struct caller_limits {
    std::uint32_t headerBytes = 16384; ///< Largest head of a request.
    std::uint64_t bodyBytes = 1 << 20; ///< Largest body of a request.
    milliseconds headerTime { 3000 }; ///< Longest time from the first byte of a head to its end.
    milliseconds idleTime { 15000 }; ///< Longest silence between two requests of a connection.
};

/** One version of the routing configuration. */
struct route_config {
    std::uint64_t version = 0; ///< The operator's version; only rises.
    std::vector<route> routes; ///< All routes.
    std::map<std::string, service_rules> services; ///< By name.
    caller_limits limits; ///< What callers may send.
};

} // namespace lhub
