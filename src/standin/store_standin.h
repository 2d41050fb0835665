/** @file store_standin.h A small stand-in for the platform's object store, for tests and demos only. */
#pragma once

#include "config/config_type.h"
#include "net/http_func.h"
#include <memory>

namespace lhub {

/** Faults that the stand-in plays on demand. */
struct store_faults {
    bool down = false; ///< Answers 503 to every call.
    std::uint32_t delayMs = 0; ///< Added before every answer.
    std::uint32_t loseReplies = 0; ///< Writes to carry out and then answer by closing the connection.
};

/** Calls counted since the start, a waiting watch as one. */
struct store_counts {
    std::uint64_t reads = 0; ///< Gets.
    std::uint64_t writes = 0; ///< Puts and deletes.
    std::uint64_t watches = 0; ///< Watches and lists.
};

/** The whole store, in memory. */
struct store_standin {
    config_state state; ///< Objects; the revision rises with every write.
    store_faults faults; ///< What goes wrong now.
    store_counts counts; ///< What was asked.
};

/** Carries out a conditional write. Returns the HTTP status; @p version is what is present afterwards. */
http::status writeObject(
    store_standin& store, const std::string& key, const config_object& next, const http_request& request);

/** A handler that serves the store's protocol and "/v1/control" for faults and counts. */
http_handler makeStoreHandler(const std::shared_ptr<store_standin>& store);

} // namespace lhub
