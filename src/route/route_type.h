/** @file route_type.h The routing configuration: routes, services, customers and limits for callers. */
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
    bool largeBodies = false; ///< Whether requests are large uploads.
    bool isPublic = false; ///< Whether requests need no customer's key.
    std::string fault; ///< Why its row cannot be read: its requests are refused. Empty for a readable route.
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

/** A customer whose callers identify themselves by a key. */
struct customer_rules {
    std::string name; ///< Unique name; endpoints are told it.
    std::vector<std::string> keys; ///< Secret keys of its callers. Never logged, and never sent to endpoints or other VMs.
    std::uint32_t priority = 0; ///< 0 is the most urgent; goes before the priority of the route.
    double requestsPerSecond = 0; ///< Quota over all VMs together; no limit when this and burst are 0.
    double burst = 0; ///< Requests allowed at once in addition to requestsPerSecond.
    std::vector<std::string> regions; ///< Regions whose endpoints may get its requests; empty for all. The route's regions bind as well.
};

/** Whether the requests of the customer are limited. Thread safe. */
inline bool hasQuota(const customer_rules& customer) { return customer.requestsPerSecond > 0 || customer.burst > 0; }

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
    std::vector<customer_rules> customers; ///< All customers; empty when requests need no key.
    bool hasCustomers = false; ///< Requests to routes that are not public need a customer's key. True also when no customer's row can be read.
    caller_limits limits; ///< Limits on callers, for all routes.
    bool routesComplete = true; ///< Every row of a route names its host and prefix. If not, a request without a route may belong to a row that cannot be read.
    bool customersComplete = true; ///< Every row of a customer can be read. If not, an unknown key may belong to one that cannot.
    std::vector<std::string> faults; ///< What could not be read, one entry for each row.
};

} // namespace lhub
