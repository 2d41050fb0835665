/** @file store_type.h The narrow interface to the platform's object store. */
#pragma once

#include "config/config_type.h"
#include "core/time_type.h"
#include <functional>
#include <optional>

namespace lhub {

/** What a call asks for. */
enum class store_operation {
    Get, ///< One object.
    Put, ///< Conditional create or update.
    Remove, ///< Conditional delete.
    Watch, ///< All objects of a prefix changed after a revision; waits for the first.
};

/** One call to the store, as data. */
struct store_request {
    store_operation operation = store_operation::Get; ///< What is asked for.
    std::string key; ///< Key, or prefix for Watch.
    std::string value; ///< New value for Put.
    std::uint64_t expected = 0; ///< Version that must be present; 0: the key must be absent.
    std::uint64_t since = 0; ///< Revision after which Watch reports.
    milliseconds wait { 0 }; ///< Longest wait of a Watch without news; 0 lists.
};

/** How a call ended. */
enum class store_result {
    Done, ///< Carried out.
    Conflict, ///< The condition did not hold: nothing was written; the reply holds what is there.
    Missing, ///< No such object.
    Refused, ///< Proved not carried out: no connection, or the store's own refusal.
    HistoryGone, ///< A Watch asked for changes that the store no longer keeps: list again.
    Unknown, ///< A write may have been carried out: the reply was lost.
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

/** Answer to a call. */
struct store_reply {
    store_result result = store_result::Unknown; ///< How it ended.
    config_object object; ///< For Get, and what is present after Put and Conflict.
    std::uint64_t revision = 0; ///< For Watch: everything up to here is in the reply.
    std::vector<keyed_object> objects; ///< For Watch.
    std::string reason; ///< For people, when not Done.
};

using store_callback = std::function<void(store_reply)>;

/**
 * The store. One call at a time or many; each callback runs exactly once, on the executor of the
 * implementation. Another store's protocol is one more implementation of this.
 */
struct store_client {
    virtual ~store_client() = default;
    /** Starts a call. Not thread safe: called on the executor. */
    virtual void call(const store_request& request, store_callback done) = 0;
};

} // namespace lhub
