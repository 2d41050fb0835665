/** @file config_fields.cpp Fields of each kind of configuration object, with their checks. */
#include "config/config_func.h"

namespace lhub {

static bool isAnyText(std::string_view) { return true; }

static bool isMethod(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") == std::string_view::npos;
}

static bool isPath(std::string_view text) { return !text.empty() && text.front() == '/'; }

/** Whether @p text may be the target of a drain: a name, or "SERVICE/NAME". */
static bool isDrainTarget(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return isName(text);
    return isName(text.substr(0, slash)) && isName(text.substr(slash + 1));
}

constexpr std::uint32_t MaxDeadlineMs = 600'000;
constexpr std::uint32_t MaxSlots = 10'000;
constexpr std::uint32_t MaxConnections = 100'000;
constexpr std::uint32_t WholePermille = 1'000;
constexpr std::uint32_t MaxCapPerSecond = 10'000'000;
constexpr std::uint32_t SecondsPerDay = 86'400;
constexpr std::uint64_t MaxIncarnation = INT64_MAX;

const std::vector<json_field<service_config>>& serviceFields()
{
    static const std::vector<json_field<service_config>> Table {
        nameField("name", &service_config::name),
        numberField("deadline_ms", &service_config::deadlineMs, 1U, MaxDeadlineMs, false),
        listField("double_weight", &service_config::doubleWeight, isMethod, "a list of HTTP methods"),
        numberField("objective_permille", &service_config::objectivePermille, 1U, WholePermille - 1, false),
        numberField("latency_ms", &service_config::latencyMs, 1U, MaxDeadlineMs, false),
        checkedField("probe_path", &service_config::probePath, isPath, "a path that begins with /", false),
    };
    return Table;
}

const std::vector<json_field<place_config>>& placeFields()
{
    static const std::vector<json_field<place_config>> Table {
        nameField("zone", &place_config::zone),
        nameField("region", &place_config::region),
    };
    return Table;
}

const std::vector<json_field<endpoint_config>>& endpointFields()
{
    static const std::vector<json_field<endpoint_config>> Table {
        nameField("service", &endpoint_config::service),
        nameField("name", &endpoint_config::name),
        nameField("zone", &endpoint_config::zone),
        addressField("address", &endpoint_config::address),
        numberField("slots", &endpoint_config::slots, 1U, MaxSlots),
        numberField("connections", &endpoint_config::connections, 1U, MaxConnections, false),
    };
    return Table;
}

const std::vector<json_field<shift_config>>& shiftFields()
{
    static const std::vector<json_field<shift_config>> Table {
        nameField("name", &shift_config::name),
        nameField("service", &shift_config::service),
        nameField("from_region", &shift_config::fromRegion),
        nameField("to_region", &shift_config::toRegion),
        numberField("permille", &shift_config::permille, 0U, WholePermille),
        numberField("cap_per_second", &shift_config::capPerSecond, 0U, MaxCapPerSecond),
        enumField("status", &shift_config::status, ShiftStatusNames),
        numberField("ramp_s", &shift_config::rampSeconds, 0U, SecondsPerDay, false),
        listField("zones", &shift_config::zones, isName, "a list of zones"),
    };
    return Table;
}

const std::vector<json_field<drain_config>>& drainFields()
{
    static const std::vector<json_field<drain_config>> Table {
        nameField("name", &drain_config::name),
        enumField("kind", &drain_config::kind, DrainKindNames),
        checkedField("target", &drain_config::target, isDrainTarget, "a name, or SERVICE/NAME for an endpoint"),
        checkedField("planned_start", &drain_config::plannedStart, isAnyText, "a time as in RFC 3339", false),
        numberField("expected_duration_s", &drain_config::expectedDurationSeconds, 0U, SecondsPerDay, false),
    };
    return Table;
}

const std::vector<json_field<vm_config>>& vmFields()
{
    static const std::vector<json_field<vm_config>> Table {
        nameField("name", &vm_config::name),
        nameField("zone", &vm_config::zone),
        addressField("http", &vm_config::http),
        addressField("peer", &vm_config::peer),
        addressField("agent", &vm_config::agent),
        numberField("incarnation", &vm_config::incarnation, std::uint64_t(0), MaxIncarnation),
        flagField("leaving", &vm_config::leaving),
    };
    return Table;
}

} // namespace lhub
