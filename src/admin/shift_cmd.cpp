/** @file shift_cmd.cpp The command that starts, changes, pauses or rolls back a shift. */
#include "admin/command_func.h"
#include "config/config_func.h"

#include <algorithm>

namespace lhub {

constexpr std::uint32_t MaxPermille = 1000; ///< All requests, in thousandths.

/** Zones of a region, sorted by name. */
static std::vector<std::string> zonesIn(const config_view& view, const std::string& region)
{
    std::vector<std::string> zones;
    for (const auto& [zone, place] : view.places) {
        if (place.region == region)
            zones.push_back(zone);
    }
    return zones;
}

/** Sum of the permille of the other running shifts of the same service and source region. */
static std::uint32_t permilleOfOtherShifts(const config_view& view, const shift_config& shift)
{
    std::uint32_t total = 0;
    for (const auto& [name, other] : view.shifts) {
        const bool sameTraffic = other.service == shift.service && other.fromRegion == shift.fromRegion;
        if (sameTraffic && name != shift.name && other.status == shift_status::Running)
            total += other.permille;
    }
    return total;
}

change_command testShift(const config_view& view, const shift_config& shift, const change_meta& meta)
{
    auto withZones = shift;
    withZones.zones = zonesIn(view, shift.fromRegion);
    auto command = makeCommand("shift/" + shift.name, shiftFields(), withZones, meta);
    if (view.services.count(shift.service) == 0)
        command.faults.push_back({ "service", shift.service, "a service that exists" });
    if (withZones.zones.empty())
        command.faults.push_back({ "from_region", shift.fromRegion, "a region with places" });
    if (zonesIn(view, shift.toRegion).empty() || shift.toRegion == shift.fromRegion)
        command.faults.push_back({ "to_region", shift.toRegion, "another region with places" });
    if (shift.capPerSecond > 0 && shift.capPerSecond < withZones.zones.size()) {
        command.faults.push_back({ "cap_per_second", std::to_string(shift.capPerSecond),
            "0, or at least 1 for each of the " + std::to_string(withZones.zones.size()) + " zones" });
    }
    const auto others = permilleOfOtherShifts(view, shift);
    if (others + shift.permille > MaxPermille) {
        command.faults.push_back({ "permille", std::to_string(shift.permille),
            "at most " + std::to_string(MaxPermille - std::min(others, MaxPermille))
                + " beside the other shifts of this traffic" });
    }
    return command;
}

} // namespace lhub
