/** @file route_func.h Matching a request to its route, and choosing the service from the route's targets. */
#pragma once

#include "route/route_type.h"
#include <optional>
#include <string_view>
#include <unordered_map>

namespace lhub {

/** A configuration with an index for matching. Not changed after makeRouteTable(). */
struct route_table {
    route_config config; ///< The configuration.
    std::unordered_map<std::string, std::vector<std::size_t>> byHost; ///< By canonical host: indices into config.routes, longest prefix first.
    std::unordered_map<std::string, std::size_t> customerByKey; ///< By key: index into config.customers.
};

/** Builds the index. Thread safe. */
route_table makeRouteTable(route_config config);

/** A host in lower case, without a port. Thread safe. */
std::string canonicalHost(std::string_view host);

/**
 * The route of @p host with the longest prefix that the path of @p target begins with. Thread safe.
 * @param host Host header of the request.
 * @param target path and query of the request.
 * @return a pointer into @p table; null when no route matches.
 */
const route* findRoute(const route_table& table, std::string_view host, std::string_view target);

/** The customer that holds @p key. Thread safe. @return a pointer into @p table; null when no customer holds it. */
const customer_rules* findCustomer(const route_table& table, const std::string& key);

/** State of a smooth weighted round robin over the targets of each route. */
struct split_state {
    std::unordered_map<std::string, std::vector<double>> credits; ///< By name of the route: the credit of each target. The highest is chosen next.
};

/** Name of the service that gets the next request of @p route. Over consecutive requests each target gets its share. Not thread
 *  safe. */
const std::string& nextTarget(split_state& split, const route& route);

} // namespace lhub
