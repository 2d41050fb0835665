/** @file command.cpp Execution of operators' changes: one conditional write, followed by a read if the reply to the write was lost. */
#include "admin/command_func.h"

#include "config/config_func.h"

namespace lhub {

constexpr std::size_t MaxHistoryRows = 10; ///< Changes that the stored history of an object lists at most.

/** Change history stored with an object, newest first; empty if the object is malformed or has none. */
static json::array deletionHistoryOf(const config_object& object)
{
    const auto parsed = parseJson(object.value);
    if (!parsed || !parsed.value->is_object())
        return {};
    const auto* history = parsed.value->get_object().if_contains("history");
    return history && history->is_array() ? history->get_array() : json::array {};
}

bool hasChange(const config_object& object, const std::string& changeId)
{
    for (const auto& row : deletionHistoryOf(object)) {
        const auto* id = row.is_object() ? row.get_object().if_contains("change_id") : nullptr;
        if (id && id->is_string() && id->get_string() == changeId)
            return true;
    }
    return false;
}

store_request makeChangeWrite(const change_command& command, const config_object& present)
{
    store_request request;
    request.key = storeKey(command.key);
    request.expectedVersion = command.meta.expectedVersion;
    if (!command.spec) {
        request.operation = store_operation::Remove;
        return request;
    }
    json::array history { json::object { { "change_id", command.meta.changeId }, { "who", command.meta.who },
        { "why", command.meta.why }, { "replaces", command.meta.expectedVersion } } };
    for (auto& row : deletionHistoryOf(present)) {
        if (history.size() < MaxHistoryRows)
            history.push_back(std::move(row));
    }
    request.operation = store_operation::Put;
    request.value = json::serialize(json::object { { "spec", *command.spec }, { "history", std::move(history) } });
    return request;
}

std::optional<change_reply> replyBeforeWrite(const change_command& command, const config_object& present)
{
    const bool exists = present.version > 0 && !present.deleted;
    const bool repeated = exists && command.spec && hasChange(present, command.meta.changeId);
    if (repeated)
        return change_reply { change_result::Accepted, present.version, present, {}, "this change was made before" };
    if (!command.faults.empty())
        return change_reply { change_result::Invalid, 0, present, command.faults, "the change has faults" };
    const auto version = exists ? present.version : 0;
    if (version != command.meta.expectedVersion)
        return change_reply { change_result::Conflict, 0, present, {}, "another version is present" };
    if (command.meta.validateOnly)
        return change_reply { change_result::Valid, 0, present, {}, {} };
    return std::nullopt;
}

std::optional<change_reply> replyAfterWrite(const store_reply& reply)
{
    if (reply.result == store_result::Done)
        return change_reply { change_result::Accepted, reply.object.version, reply.object, {}, {} };
    if (reply.result == store_result::Refused)
        return change_reply { change_result::Unknown, 0, {}, {}, "not written: " + reply.reason };
    return std::nullopt;
}

change_reply replyAfterReadBack(const change_command& command, const store_reply& reply)
{
    const bool exists = reply.result == store_result::Done;
    const bool missing = reply.result == store_result::Missing;
    if (exists && command.spec && hasChange(reply.object, command.meta.changeId))
        return { change_result::Accepted, reply.object.version, reply.object, {}, "confirmed by a read" };
    if (missing && !command.spec)
        return { change_result::Accepted, 0, {}, {}, "it is gone, by this or another change" };
    if (exists && reply.object.version != command.meta.expectedVersion)
        return { change_result::Conflict, 0, reply.object, {}, "somebody was first" };
    if (missing && command.meta.expectedVersion != 0)
        return { change_result::Conflict, 0, {}, {}, "somebody removed it" };
    return { change_result::Unknown, 0, reply.object, {}, "the store did not answer; repeat with the same change id" };
}

void executeChange(store_client& store, const change_command& command, const config_object& present,
    std::function<void(change_reply)> done)
{
    if (auto reply = replyBeforeWrite(command, present)) {
        done(std::move(*reply));
        return;
    }
    store.call(makeChangeWrite(command, present), [&store, command, done = std::move(done)](const store_reply& written) {
        if (auto reply = replyAfterWrite(written)) {
            done(std::move(*reply));
            return;
        }
        store_request readBack;
        readBack.key = storeKey(command.key);
        store.call(readBack, [command, done](const store_reply& read) { done(replyAfterReadBack(command, read)); });
    });
}

} // namespace lhub
