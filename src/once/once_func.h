/** @file once_func.h Claiming and settling keys at their home. */
#pragma once

#include "entry/entry_event.h"
#include "once/once_type.h"
#include <optional>

namespace lhub {

/** The home that a key names; nothing for keys of other makes. Thread safe. */
std::optional<home_key> parseHomeKey(const std::string& key);

/** The prefix that this VM gives out at @p now. Thread safe. */
std::string makeKeyPrefix(const std::string& vm, std::uint64_t incarnation, time_point now);

/** How a claim at the home ended. */
struct home_claim {
    claim_result result = claim_result::Unknown; ///< How it ended.
    verdict known = verdict::MayHaveRun; ///< Of the request that owns the key, when repeated.
};

/**
 * Claims a key whose home this is. The same request again still owns it. A key that is too old to be remembered is
 * refused as Unknown.
 */
home_claim claimAtHome(
    key_memory& memory, const std::string& key, const home_key& home, const std::string& requestId, time_point now);

/** The request that owns the key has ended. One that provably did not run gives the key back. */
void settleAtHome(key_memory& memory, const std::string& key, const std::string& requestId, verdict known);

/** Forgets keys whose prefix is void. */
void forgetOldKeys(key_memory& memory, time_point now);

} // namespace lhub
