/** @file route.cpp Matching a request to its route, and choosing the service from the route's targets. */
#include "route/route_func.h"

#include <algorithm>
#include <cctype>

namespace lhub {

std::string canonicalHost(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    std::string result(host);
    std::transform(result.begin(), result.end(), result.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

route_table makeRouteTable(route_config config)
{
    route_table table { std::move(config), {}, {} };
    for (std::size_t i = 0; i < table.config.routes.size(); ++i)
        table.byHost[canonicalHost(table.config.routes[i].host)].push_back(i);
    for (auto& [host, indices] : table.byHost) {
        std::stable_sort(indices.begin(), indices.end(), [&](std::size_t a, std::size_t b) {
            return table.config.routes[a].prefix.size() > table.config.routes[b].prefix.size();
        });
    }
    for (std::size_t i = 0; i < table.config.customers.size(); ++i) {
        for (const auto& key : table.config.customers[i].keys)
            table.customerByKey.emplace(key, i);
    }
    return table;
}

const customer_rules* findCustomer(const route_table& table, const std::string& key)
{
    const auto found = table.customerByKey.find(key);
    return found == table.customerByKey.end() ? nullptr : &table.config.customers[found->second];
}

const route* findRoute(const route_table& table, std::string_view host, std::string_view target)
{
    const auto found = table.byHost.find(canonicalHost(host));
    if (found == table.byHost.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    for (const auto index : found->second) {
        const auto& candidate = table.config.routes[index];
        if (path.substr(0, candidate.prefix.size()) == candidate.prefix)
            return &candidate;
    }
    return nullptr;
}

const std::string& nextTarget(split_state& split, const route& route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    auto& credits = split.credits[route.name];
    credits.resize(route.targets.size(), 0);
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < credits.size(); ++i) {
        credits[i] += route.targets[i].weight;
        total += route.targets[i].weight;
        if (credits[i] > credits[best])
            best = i;
    }
    credits[best] -= total;
    return route.targets[best].service;
}

} // namespace lhub
