/** @file config.cpp Merging and parsing of configuration. */
#include "config/config_func.h"

#include <algorithm>

namespace lhub {

std::string storeKey(std::string_view key) { return std::string(StorePrefix) + std::string(key); }

void stripPrefix(std::vector<keyed_object>& objects)
{
    for (auto& item : objects) {
        if (item.key.rfind(StorePrefix, 0) == 0)
            item.key.erase(0, StorePrefix.size());
    }
}

std::vector<std::string> splitKey(std::string_view key)
{
    std::vector<std::string> parts;
    while (true) {
        const auto slash = key.find('/');
        parts.emplace_back(key.substr(0, slash));
        if (slash == std::string_view::npos)
            return parts;
        key.remove_prefix(slash + 1);
    }
}

bool mergeObject(config_state& state, const std::string& key, const config_object& object)
{
    auto& current = state.objects[key];
    if (object.version <= current.version)
        return false;
    current = object;
    return true;
}

std::vector<keyed_object> objectsSince(const config_state& state, std::uint64_t since)
{
    std::vector<keyed_object> result;
    for (const auto& [key, object] : state.objects) {
        if (object.version > since)
            result.push_back({ key, object });
    }
    std::sort(result.begin(), result.end(),
        [](const keyed_object& a, const keyed_object& b) { return a.object.version < b.object.version; });
    return result;
}

/** Parses the object and puts it into @p map under @p name, or removes it from the map when it is deleted. */
template <typename T>
static std::vector<field_fault> applyToMap(std::map<std::string, T>& map, const std::string& name,
    const std::vector<json_field<T>>& table, const config_object& object)
{
    if (object.deleted) {
        map.erase(name);
        return {};
    }
    const auto parsed = parseJson(object.value);
    if (!parsed)
        return { { "(document)", object.value, parsed.reason } };
    const auto* spec = parsed.value->is_object() ? parsed.value->get_object().if_contains("spec") : nullptr;
    if (!spec)
        return { { "spec", "(missing)", "the object's fields" } };
    T value {};
    auto faults = readFields(table, *spec, value);
    if (faults.empty())
        map[name] = std::move(value);
    return faults;
}

/**
 * Applies an object by its kind, the first part of its key; see applyObject(). Other kinds are ignored.
 * @param parts the parts of its key; @pre at least one.
 */
static std::vector<field_fault> applyByKind(
    config_view& view, const std::vector<std::string>& parts, const config_object& object)
{
    const auto& kind = parts[0];
    if (kind == "endpoint" && parts.size() == 3)
        return applyToMap(view.endpoints[parts[1]], parts[2], endpointFields(), object);
    if (parts.size() != 2)
        return {};
    if (kind == "service")
        return applyToMap(view.services, parts[1], serviceFields(), object);
    if (kind == "place")
        return applyToMap(view.places, parts[1], placeFields(), object);
    if (kind == "shift")
        return applyToMap(view.shifts, parts[1], shiftFields(), object);
    if (kind == "drain")
        return applyToMap(view.drains, parts[1], drainFields(), object);
    if (kind == "vm")
        return applyToMap(view.vms, parts[1], vmFields(), object);
    return {};
}

std::vector<field_fault> applyObject(config_view& view, const std::string& key, const config_object& object)
{
    view.revision = std::max(view.revision, object.version);
    auto faults = applyByKind(view, splitKey(key), object);
    if (!faults.empty())
        ++view.rejected;
    return faults;
}

std::string regionOf(const config_view& view, const std::string& zone)
{
    const auto found = view.places.find(zone);
    return found == view.places.end() ? std::string() : found->second.region;
}

bool isZoneDrained(const config_view& view, const std::string& zone)
{
    const auto region = regionOf(view, zone);
    return std::any_of(view.drains.begin(), view.drains.end(), [&](const auto& item) {
        const auto& drain = item.second;
        if (drain.kind == drain_kind::Zone)
            return drain.target == zone;
        return drain.kind == drain_kind::Region && drain.target == region;
    });
}

bool isEndpointDrained(const config_view& view, const endpoint_config& endpoint)
{
    if (isZoneDrained(view, endpoint.zone))
        return true;
    const auto target = endpoint.service + "/" + endpoint.name;
    return std::any_of(view.drains.begin(), view.drains.end(), [&](const auto& item) {
        return item.second.kind == drain_kind::Endpoint && item.second.target == target;
    });
}

bool isVmLeaving(const config_view& view, const vm_config& vm)
{
    if (vm.leaving)
        return true;
    return std::any_of(view.drains.begin(), view.drains.end(),
        [&](const auto& item) { return item.second.kind == drain_kind::Vm && item.second.target == vm.name; });
}

} // namespace lhub
