/** @file claim_func.h Claims of idempotency keys in the store. */
#pragma once

#include "entry/entry_event.h"
#include "store/store_type.h"

namespace lhub {

/** Answer to a claim. */
struct claim_reply {
    claim_result result = claim_result::Unknown; ///< How it ended.
    std::uint64_t version = 0; ///< Version of the claim, when it is ours.
    std::string holder; ///< Request that holds the key, when it is another's.
};

/** Key of the claim's object; the caller's key is hashed, so any text will do. Thread safe. */
std::string claimKey(const std::string& service, const std::string& key);

/** The conditional create that claims the key for a request. Thread safe. */
store_request makeClaim(const std::string& service, const std::string& key, const std::string& requestId);

/** The conditional delete that gives a claim back. Thread safe. */
store_request makeUnclaim(const std::string& service, const std::string& key, std::uint64_t version);

/** What the claim's own reply says; nothing when it has to be read back. Thread safe. */
std::optional<claim_reply> judgeClaim(const store_reply& reply);

/** What a read-back says of a claim whose reply was lost or that met another. Thread safe. */
claim_reply judgeReadBack(const store_reply& reply, const std::string& requestId);

/** Claims the key: conditional create, then a read-back where the reply does not settle it. */
void claimInStore(store_client& store, const std::string& service, const std::string& key,
    const std::string& requestId, std::function<void(claim_reply)> done);

} // namespace lhub
