/** @file store_standin.h Test server in place of the platform's object store, for tests and demos only. */
#pragma once

#include "config/config_type.h"
#include "net/http_func.h"
#include <memory>

namespace lhub {

/** Faults that the stand-in injects, set through "/v1/control". */
struct store_faults {
    bool down = false; ///< Responds with 503 to every call but "/v1/control".
    std::uint32_t delayMs = 0; ///< Delay before a call is carried out; "/v1/control" has none.
    std::uint32_t loseReplies = 0; ///< Number of next successful writes whose response is replaced by 504.
};

/** Calls since the start; a long poll counts as one. */
struct store_counts {
    std::uint64_t reads = 0; ///< GET of an object.
    std::uint64_t writes = 0; ///< PUT and DELETE of an object, refused ones as well.
    std::uint64_t watches = 0; ///< Watch calls; a list is a watch from revision 0.
};

/** State of the store, in memory. Used on one thread. */
struct store_standin {
    config_state state; ///< Objects; the revision rises by one with every write.
    store_faults faults; ///< Faults in force now.
    store_counts counts;
};

/**
 * Writes an object under the condition that If-Match or If-None-Match of @p request states.
 * @param next the new value; its version is ignored.
 * @return ok, or precondition_failed when nothing was written.
 */
http::status writeObject(
    store_standin& store, const std::string& key, const config_object& next, const http_request& request);

/** Handler for the store's protocol, and for "/v1/control", which sets faults and returns faults and counts. */
http_handler makeStoreHandler(const std::shared_ptr<store_standin>& store);

} // namespace lhub
