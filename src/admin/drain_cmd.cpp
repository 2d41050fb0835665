/** @file drain_cmd.cpp The command that starts or changes a drain. */
#include "admin/command_func.h"
#include "config/config_func.h"

#include <algorithm>

namespace lhub {

static bool hasEndpoint(const config_view& view, const std::string& target)
{
    const auto parts = splitKey(target);
    const auto found = view.endpoints.find(parts[0]);
    return parts.size() == 2 && found != view.endpoints.end() && found->second.count(parts[1]) > 0;
}

static bool hasRegion(const config_view& view, const std::string& target)
{
    return std::any_of(
        view.places.begin(), view.places.end(), [&](const auto& item) { return item.second.region == target; });
}

/** Whether the drain's target exists. */
static bool targetExists(const config_view& view, const drain_config& drain)
{
    switch (drain.kind) {
    case drain_kind::Endpoint:
        return hasEndpoint(view, drain.target);
    case drain_kind::Vm:
        return view.vms.count(drain.target) > 0;
    case drain_kind::Zone:
        return view.places.count(drain.target) > 0;
    case drain_kind::Region:
        return hasRegion(view, drain.target);
    }
    return false;
}

change_command testDrain(const config_view& view, const drain_config& drain, const change_meta& meta)
{
    auto command = makeCommand("drain/" + drain.name, drainFields(), drain, meta);
    if (!targetExists(view, drain)) {
        command.faults.push_back(
            { "target", drain.target, std::string(nameOf(DrainKindNames, drain.kind)) + " that exists" });
    }
    return command;
}

} // namespace lhub
