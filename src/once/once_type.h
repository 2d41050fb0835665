/** @file once_type.h Idempotency keys that name their home: the entry VM that remembers them. */
#pragma once

#include "core/time_type.h"
#include "core/verdict_type.h"
#include <cstdint>
#include <map>
#include <string>

namespace lhub {

/** What a key says of its home: "lhub.VM.INCARNATION.SECONDS.REST". */
struct home_key {
    std::string vm; ///< Entry VM that gave out the key's prefix.
    std::uint64_t incarnation = 0; ///< Its start.
    seconds minted { 0 }; ///< Time of the prefix on the home's own clock.
};

/** A key that was used. */
struct key_record {
    std::string requestId; ///< Request that owns the key.
    verdict known = verdict::MayHaveRun; ///< What is known of it; MayHaveRun while it is in flight.
    time_point forget {}; ///< The key's prefix is void from here on, so the record is not needed.
};

/** All keys whose home this process is. Starts empty: keys of an earlier start name another incarnation. */
struct key_memory {
    std::map<std::string, key_record> used; ///< By key.
    std::size_t mostKeys = 200'000; ///< More are refused.
    seconds lifetime { 3'600 }; ///< A prefix may be used this long.
};

} // namespace lhub
