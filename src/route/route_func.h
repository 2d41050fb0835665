/** @file route_func.h Choosing the route and the service of a request. */
#pragma once

#include "route/route_type.h"
#include <optional>
#include <string_view>
#include <unordered_map>

namespace lhub {

/** A configuration indexed for matching. Immutable once made. */
struct route_table {
    route_config config; ///< As read.
    std::unordered_map<std::string, std::vector<std::size_t>> byHost; ///< Indices of routes, longest prefix first.
};

/** Builds the index. Thread safe. */
route_table makeRouteTable(route_config config);

/** Lower-case host without port. Thread safe. */
std::string canonicalHost(std::string_view host);

/**
 * The route with the longest prefix that starts the path of @p target. Thread safe.
 * @param host as in the request.
 * @param target path and query of the request.
 * @return null when no route matches.
 */
const route* findRoute(const route_table& table, std::string_view host, std::string_view target);

/** Smooth weighted round robin over the targets of each route. */
struct split_state {
    std::unordered_map<std::string, std::vector<double>> credits; ///< By route, a credit a target.
};

/** The target of the next request of @p route; each target gets its share over any run of requests. Not thread safe. */
const std::string& nextTarget(split_state& split, const route& route);

} // namespace lhub
