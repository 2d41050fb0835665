/** @file service_cmd.cpp The command that creates or changes a service. */
#include "admin/command_func.h"
#include "config/config_func.h"

namespace lhub {

change_command testService(const config_view&, const service_config& service, const change_meta& meta)
{
    return makeCommand("service/" + service.name, serviceFields(), service, meta);
}

} // namespace lhub
