/** @file remove_cmd.cpp The command that removes an object. */
#include "admin/command_func.h"
#include "config/config_func.h"

#include <algorithm>

namespace lhub {

/** Key of an object that depends on the one whose key has the @p parts; empty if there is none. */
static std::string findDependent(const config_view& view, const std::vector<std::string>& parts)
{
    if (parts.size() != 2)
        return {};
    const bool service = parts[0] == "service";
    const bool place = parts[0] == "place";
    for (const auto& [name, endpoints] : view.endpoints) {
        for (const auto& [endpoint, config] : endpoints) {
            if ((service && name == parts[1]) || (place && config.zone == parts[1]))
                return std::string("endpoint/").append(name).append("/").append(endpoint);
        }
    }
    for (const auto& [name, shift] : view.shifts) {
        const auto& zones = shift.zones;
        const bool needsPlace = place && std::find(zones.begin(), zones.end(), parts[1]) != zones.end();
        if ((service && shift.service == parts[1]) || needsPlace)
            return "shift/" + name;
    }
    return {};
}

change_command testRemove(const config_view& view, const std::string& key, const change_meta& meta)
{
    change_command command { key, meta, std::nullopt, {} };
    if (meta.who.empty())
        command.faults.push_back({ "who", "", "the operator's name" });
    const auto dependent = findDependent(view, splitKey(key));
    if (!dependent.empty())
        command.faults.push_back({ "key", key, "an object that nothing needs; " + dependent + " does" });
    return command;
}

} // namespace lhub
