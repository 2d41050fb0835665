/** @file place_cmd.cpp The command that creates or changes a place. */
#include "admin/command_func.h"
#include "config/config_func.h"

namespace lhub {

change_command testPlace(const config_view& view, const place_config& place, const change_meta& meta)
{
    auto command = makeCommand("place/" + place.zone, placeFields(), place, meta);
    const auto present = view.places.find(place.zone);
    if (present != view.places.end() && present->second.region != place.region) {
        command.faults.push_back(
            { "region", place.region, "region " + present->second.region + ": a zone cannot change its region" });
    }
    return command;
}

} // namespace lhub
