/** @file key_claim_func.h Claims of idempotency keys in the object store. */
#pragma once

#include "entry/entry_event.h"
#include "store/store_type.h"

namespace lhub {

/** Answer to a claim. */
struct claim_reply {
    claim_result result = claim_result::Unknown; ///< Whether the request owns the key.
    std::uint64_t version = 0; ///< Version of the claim's object if the request owns the key; otherwise 0.
    std::string holder; ///< Request that owns the key, if it is another one.
};

/** Key of the claim's object in the store. It holds a hash of the caller's key, so any text will do. Thread safe. */
std::string claimObjectKey(const std::string& service, const std::string& key);

/** The conditional create that claims the key for a request. Thread safe. */
store_request makeClaim(const std::string& service, const std::string& key, const std::string& requestId);

/** The conditional delete that removes the claim of the given version. Thread safe. */
store_request makeUnclaim(const std::string& service, const std::string& key, std::uint64_t version);

/** Result of the conditional create; nothing when it is unclear and the object has to be read. Thread safe. */
std::optional<claim_reply> interpretClaimReply(const store_reply& reply);

/**
 * Result of a claim by reading its object, after the reply to the create was lost or reported a conflict. Thread safe.
 * @param reply the reply to the read.
 */
claim_reply interpretReadBack(const store_reply& reply, const std::string& requestId);

/**
 * Claims the key: conditional create, then a read where the reply does not settle it. Not thread safe: called on the
 * store's executor, which also runs @p done, exactly once.
 * @param requestId identifies the claimant; it must not be used by another request.
 */
void claimInStore(store_client& store, const std::string& service, const std::string& key,
    const std::string& requestId, std::function<void(claim_reply)> done);

} // namespace lhub
