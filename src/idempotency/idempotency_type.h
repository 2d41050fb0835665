/** @file idempotency_type.h Idempotency keys that name their home: the entry VM that issued their prefix and records their use. */
#pragma once

#include "core/time_type.h"
#include "core/verdict_type.h"
#include <cstdint>
#include <map>
#include <string>

namespace lhub {

/** The parts of a key that name its home: "lhub.VM.INCARNATION.SECONDS.REST". */
struct home_key {
    std::string vm; ///< Entry VM that issued the prefix.
    std::uint64_t incarnation = 0; ///< Number of that VM's start; after a restart the home has no record of the key.
    seconds issuedAt { 0 }; ///< Time of issue on the home's own monotonic clock.
};

/** Record of a key that was claimed. */
struct key_record {
    std::string requestId; ///< Claimant: the request that owns the key.
    verdict known = verdict::MayHaveRun; ///< Whether that request ran; MayHaveRun while it is in flight.
    time_point expiresAt {}; ///< The key's prefix is no longer accepted from here on, so the record is not needed.
};

/** Records of the keys whose home this process is. Empty at the start: older keys name another incarnation. */
struct key_memory {
    std::map<std::string, key_record> records; ///< By key.
    std::size_t maxKeys = 200'000; ///< New keys are refused while there are this many records.
    seconds prefixLifetime { 3'600 }; ///< How long after its issue a prefix is accepted.
};

} // namespace lhub
