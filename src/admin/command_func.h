/** @file command_func.h Test and execute steps of operators' changes. */
#pragma once

#include "admin/command_type.h"
#include <functional>

namespace lhub {

// -- test steps: a command with the faults found against the present configuration. Thread safe.

/** Tests the new fields of a service (service_cmd.cpp). */
change_command testService(const config_view& view, const service_config& service, const change_meta& meta);
/** Tests the new fields of a place (place_cmd.cpp). */
change_command testPlace(const config_view& view, const place_config& place, const change_meta& meta);
/** Tests the new fields of an endpoint (endpoint_cmd.cpp). */
change_command testEndpoint(const config_view& view, const endpoint_config& endpoint, const change_meta& meta);
/** Tests the new fields of a shift and names the zones that share its cap (shift_cmd.cpp). */
change_command testShift(const config_view& view, const shift_config& shift, const change_meta& meta);
/** Tests the new fields of a drain (drain_cmd.cpp). */
change_command testDrain(const config_view& view, const drain_config& drain, const change_meta& meta);
/** Tests whether an object may be removed (remove_cmd.cpp). */
change_command testRemove(const config_view& view, const std::string& key, const change_meta& meta);

/** A command for @p spec with the faults that its own fields show. Thread safe. */
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

// -- execute steps (command.cpp)

/** Whether the object's history names the change. Thread safe. */
bool hasChange(const config_object& object, const std::string& changeId);

/** The conditional write of a command; the object's history gains a row. Thread safe. */
store_request makeChangeWrite(const change_command& command, const config_object& present);

/** The answer that is known before any write: faults, a repeated change, a conflict, a test. Thread safe. */
std::optional<change_reply> answerBeforeWrite(const change_command& command, const config_object& present);

/** The answer after the write, if its reply settles it. Thread safe. */
std::optional<change_reply> answerAfterWrite(const store_reply& reply);

/** The answer after a read-back of what the write left. Thread safe. */
change_reply answerAfterReadBack(const change_command& command, const store_reply& reply);

/** Executes a command. @p present is what the test step saw. */
void executeChange(store_client& store, const change_command& command, const config_object& present,
    std::function<void(change_reply)> done);

} // namespace lhub
