/** @file command_func.h Validation and execution of operators' changes. */
#pragma once

#include "admin/command_type.h"
#include <functional>

namespace lhub {

// -- Validation. Each function returns a command with the faults found against the current configuration. Thread safe.

/** Validates the new fields of a service (service_cmd.cpp). */
change_command testService(const config_view& view, const service_config& service, const change_meta& meta);
/** Validates the new fields of a place (place_cmd.cpp). */
change_command testPlace(const config_view& view, const place_config& place, const change_meta& meta);
/** Validates the new fields of an endpoint (endpoint_cmd.cpp). */
change_command testEndpoint(const config_view& view, const endpoint_config& endpoint, const change_meta& meta);
/**
 * Validates the new fields of a shift and sets its zones: those of the source region, which share its cap
 * (shift_cmd.cpp).
 */
change_command testShift(const config_view& view, const shift_config& shift, const change_meta& meta);
/** Validates the new fields of a drain (drain_cmd.cpp). */
change_command testDrain(const config_view& view, const drain_config& drain, const change_meta& meta);
/** Validates the removal of an object: nothing may depend on it (remove_cmd.cpp). */
change_command testRemove(const config_view& view, const std::string& key, const change_meta& meta);

/** Makes a command from @p spec and validates each field on its own, without the other objects. Thread safe. */
template <typename T>
change_command makeCommand(
    std::string key, const std::vector<json_field<T>>& table, const T& spec, const change_meta& meta)
{
    change_command command { std::move(key), meta, writeFields(table, spec), {} };
    T checked {};
    command.faults = readFields(table, json::value(*command.spec), checked);
    if (meta.who.empty())
        command.faults.push_back({ "who", "", "the operator's name" });
    if (meta.changeId.empty())
        command.faults.push_back({ "change_id", "", "an id that no other change has" });
    return command;
}

// -- Execution (command.cpp)

/** Whether the object's history contains the change. Thread safe. */
bool hasChange(const config_object& object, const std::string& changeId);

/** The conditional write of a command, which adds a row to the object's history. Thread safe. */
store_request makeChangeWrite(const change_command& command, const config_object& present);

/** The reply if no write is needed: faults, a repeated change, a conflict, validation only. Thread safe. */
std::optional<change_reply> replyBeforeWrite(const change_command& command, const config_object& present);

/** The reply after the write; unset if the object must be read first: after a conflict or a lost reply. Thread safe. */
std::optional<change_reply> replyAfterWrite(const store_reply& reply);

/** The reply after a read of the object that followed a conflict or a lost reply. Thread safe. */
change_reply replyAfterReadBack(const change_command& command, const store_reply& reply);

/**
 * Executes a command.
 * @param store must outlive the call of @p done.
 * @param present the object as validation saw it.
 * @param done called once with the result.
 */
void executeChange(store_client& store, const change_command& command, const config_object& present,
    std::function<void(change_reply)> done);

} // namespace lhub
