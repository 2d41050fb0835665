/** @file config_func.h Reading, checking and merging configuration. */
#pragma once

#include "config/config_type.h"
#include "core/json_fields.h"

namespace lhub {

/** Fields of each kind of object, with their checks (table/config_fields.cpp). Thread safe. */
const std::vector<json_field<service_config>>& serviceFields();
const std::vector<json_field<place_config>>& placeFields();
const std::vector<json_field<endpoint_config>>& endpointFields();
const std::vector<json_field<shift_config>>& shiftFields();
const std::vector<json_field<drain_config>>& drainFields();
const std::vector<json_field<vm_config>>& vmFields();

/** Prefix of the keys of configuration in the store, which holds other objects as well. */
inline constexpr std::string_view StorePrefix = "config/";

/** Key of a configuration object in the store: StorePrefix and @p key. Thread safe. */
std::string storeKey(std::string_view key);

/** Removes StorePrefix from the keys of objects that were read from the store. */
void stripPrefix(std::vector<keyed_object>& objects);

/** Splits a key "a/b/c" at the slashes. Thread safe. */
std::vector<std::string> splitKey(std::string_view key);

/**
 * Merges one object. An older or equal version changes nothing, so the order, the source and the repetition of messages
 * do not matter.
 * @return whether the state changed.
 */
bool mergeObject(config_state& state, const std::string& key, const config_object& object);

/** All objects, tombstones included, with a version above @p since, in the order of their versions. */
std::vector<keyed_object> objectsSince(const config_state& state, std::uint64_t since);

/**
 * Applies one object to the parsed view. An object with faults is counted and does not replace its last valid version.
 * @return the faults; empty when the object is in force or its kind is not one of those above.
 */
std::vector<field_fault> applyObject(config_view& view, const std::string& key, const config_object& object);

/** Region of @p zone; empty when unknown. */
std::string regionOf(const config_view& view, const std::string& zone);

/** Whether a drain covers the endpoint. */
bool isEndpointDrained(const config_view& view, const endpoint_config& endpoint);

/** Whether a drain covers the zone itself or its region. */
bool isZoneDrained(const config_view& view, const std::string& zone);

/** Whether the entry VM is leaving or a drain of that VM exists; drains of its zone or region are not checked. */
bool isVmLeaving(const config_view& view, const vm_config& vm);

} // namespace lhub
