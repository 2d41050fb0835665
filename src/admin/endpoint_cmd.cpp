/** @file endpoint_cmd.cpp The command that creates or changes an endpoint. */
#include "admin/command_func.h"
#include "config/config_func.h"

namespace lhub {

/** "SERVICE/NAME" of another endpoint with the same address; empty if there is none. */
static std::string endpointAtSameAddress(const config_view& view, const endpoint_config& endpoint)
{
    for (const auto& [service, endpoints] : view.endpoints) {
        for (const auto& [name, other] : endpoints) {
            const bool same = service == endpoint.service && name == endpoint.name;
            if (!same && other.address == endpoint.address)
                return std::string(service).append("/").append(name);
        }
    }
    return {};
}

change_command testEndpoint(const config_view& view, const endpoint_config& endpoint, const change_meta& meta)
{
    auto command = makeCommand(
        std::string("endpoint/").append(endpoint.service).append("/").append(endpoint.name), endpointFields(),
        endpoint, meta);
    if (view.services.count(endpoint.service) == 0)
        command.faults.push_back({ "service", endpoint.service, "a service that exists" });
    if (view.places.count(endpoint.zone) == 0)
        command.faults.push_back({ "zone", endpoint.zone, "a place that exists" });
    const auto other = endpointAtSameAddress(view, endpoint);
    if (!other.empty())
        command.faults.push_back({ "address", endpoint.address, "an address that " + other + " does not use" });
    return command;
}

} // namespace lhub
