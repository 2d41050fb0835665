/** @file idempotency_func.h Claiming and settling idempotency keys at their home VM. */
#pragma once

#include "entry/entry_event.h"
#include "idempotency/idempotency_type.h"
#include <optional>

namespace lhub {

/** Parses a key that names its home; nothing for any other key. Thread safe. */
std::optional<home_key> parseHomeKey(const std::string& key);

/** The prefix that this VM issues at @p now; callers append a text of their own to it. Thread safe. */
std::string makeKeyPrefix(const std::string& vm, std::uint64_t incarnation, time_point now);

/** Result of a claim at the home. */
struct home_claim {
    claim_result result = claim_result::Unknown; ///< Whether the request owns the key.
    verdict known = verdict::MayHaveRun; ///< Whether the request that owns the key ran, when repeated.
};

/**
 * Claims a key. Precondition: this process is the key's home. A repeated claim by the same request succeeds again.
 * The result is Unknown for a key outside its lifetime or when there are too many records.
 * @param requestId identifies the claimant.
 */
home_claim claimAtHome(
    key_memory& memory, const std::string& key, const home_key& home, const std::string& requestId, time_point now);

/**
 * Records that the request that owns the key has ended. If it provably did not run, the claim is released. Ignored
 * when another request owns the key.
 */
void settleAtHome(key_memory& memory, const std::string& key, const std::string& requestId, verdict known);

/** Removes the records of keys whose prefix is no longer accepted. */
void removeExpiredKeys(key_memory& memory, time_point now);

} // namespace lhub
