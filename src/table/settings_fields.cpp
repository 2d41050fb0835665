/** @file settings_fields.cpp Fields of each settings file, with their checks. */
#include "settings/settings_func.h"

namespace lhub {

constexpr std::uint32_t MaxLookupLifetimeSeconds = 3'600;

const std::vector<json_field<vm_settings>>& vmSettingsFields()
{
    static const std::vector<json_field<vm_settings>> Table {
        nameField("vm", &vm_settings::vm),
        nameField("zone", &vm_settings::zone),
        addressField("http", &vm_settings::http),
        addressField("peer", &vm_settings::peer),
        addressField("agent", &vm_settings::agent),
        addressField("store", &vm_settings::store),
        listField("seeds", &vm_settings::seeds, isAddress, "a list of addresses IP:port"),
        textField("clients", &vm_settings::clients, false),
        numberField("lookup_lifetime_s", &vm_settings::lookupLifetimeSeconds, 1U, MaxLookupLifetimeSeconds, false),
    };
    return Table;
}

const std::vector<json_field<admin_settings>>& adminSettingsFields()
{
    static const std::vector<json_field<admin_settings>> Table {
        addressField("listen", &admin_settings::listen),
        addressField("store", &admin_settings::store),
    };
    return Table;
}

} // namespace lhub
