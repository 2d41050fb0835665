/** @file caller_return_type.h Recognizes requests whose callers came back after a refusal, by the time that they still have. */
#pragma once

#include "core/time_type.h"
#include <array>
#include <cstddef>

namespace lhub {

/** Time-outs of the newest requests of a route, as sent by callers. */
struct caller_timeouts {
    static constexpr std::size_t MaxSamples = 31; ///< Requests that are remembered.
    std::array<milliseconds, MaxSamples> samples {}; ///< Ring of the newest time-outs.
    std::size_t count = 0; ///< Time-outs ever recorded; the next one goes to this index modulo MaxSamples.
    milliseconds usual { 0 }; ///< Time-out that most first requests carry; 0 while it is unknown.
};

} // namespace lhub
