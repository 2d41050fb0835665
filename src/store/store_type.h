/** @file store_type.h Interface of the clients of the platform's object store. */
#pragma once

#include "config/config_type.h"
#include "core/time_type.h"
#include <functional>
#include <optional>

namespace lhub {

/** Operation of a call. */
enum class store_operation {
    Get, ///< Read one object.
    Put, ///< Conditional create or update.
    Remove, ///< Conditional delete.
    Watch, ///< List the objects under a prefix that changed after a revision; may wait for the first change.
};

/** One call to the store. Members that the operation does not use are ignored. */
struct store_request {
    store_operation operation = store_operation::Get;
    std::string key; ///< Key of the object; for Watch the prefix of keys.
    std::string value; ///< For Put: the new value.
    std::uint64_t expectedVersion = 0; ///< For Put and Remove: version that the object must have; 0: it must not exist.
    std::uint64_t since = 0; ///< For Watch: lists what changed after this revision; 0 lists everything.
    milliseconds wait { 0 }; ///< For Watch: longest wait for a change; 0 does not wait.
    std::optional<milliseconds> timeout = std::nullopt; ///< For Watch: time for the answer in addition to the wait; empty for that of the client.
};

/** How a call ended. */
enum class store_result {
    Done, ///< Executed.
    Conflict, ///< The version was not the expected one: nothing was written; the reply holds the current object.
    Missing, ///< No such object.
    Refused, ///< Certainly not executed: no connection, or the store refused the call.
    HistoryGone, ///< The store no longer has all changes after `since` of a Watch: list everything again.
    Unknown, ///< No usable reply: a write may have been executed.
};

/** Names of store results in traces. */
inline constexpr std::array<name_row<store_result>, 6> StoreResultNames { {
    { store_result::Done, "done" },
    { store_result::Conflict, "conflict" },
    { store_result::Missing, "missing" },
    { store_result::Refused, "refused" },
    { store_result::HistoryGone, "history_gone" },
    { store_result::Unknown, "unknown" },
} };

/** Reply to a call. */
struct store_reply {
    store_result result = store_result::Unknown; ///< How the call ended.
    config_object object; ///< For Get the object read; for Put and Conflict the current one.
    std::uint64_t revision = 0; ///< For Watch: `objects` holds all changes up to this revision. Revisions never go back, also when the store is restored from an older snapshot.
    std::vector<keyed_object> objects; ///< For Watch: the changed objects.
    std::string reason; ///< Message for people; empty when Done.
};

using store_callback = std::function<void(store_reply)>;

/**
 * Client of the store; there is one implementation for each protocol. Calls may overlap. Each callback runs exactly
 * once, on the executor of the implementation.
 */
struct store_client {
    virtual ~store_client() = default;
    /** Starts a call. Not thread safe; called on the executor of the implementation. */
    virtual void call(const store_request& request, store_callback done) = 0;
};

} // namespace lhub
