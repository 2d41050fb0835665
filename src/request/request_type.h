/** @file request_type.h One request of a caller, from arrival to answer. */
#pragma once

#include "core/time_type.h"
#include "core/verdict_type.h"
#include <cstdint>
#include <string>
#include <vector>

namespace lhub {

/** Where a request stands. */
enum class request_phase {
    Claiming, ///< Its idempotency key is being claimed.
    Seeking, ///< No owner of the pool is known; asks again soon.
    Acquiring, ///< The pool's owner was asked for a slot.
    Dispatching, ///< Sent to an endpoint or to another entry VM.
};

/** Names of phases in traces. */
inline constexpr std::array<name_row<request_phase>, 4> RequestPhaseNames { {
    { request_phase::Claiming, "claiming" },
    { request_phase::Seeking, "seeking" },
    { request_phase::Acquiring, "acquiring" },
    { request_phase::Dispatching, "dispatching" },
} };

/** One request in flight. */
struct request_state {
    std::uint64_t id = 0; ///< Number within this process.
    std::string requestId; ///< Travels on every hop.
    std::string service; ///< What it asks for.
    std::string method; ///< HTTP method.
    std::string key; ///< Idempotency key; empty when it has none.
    std::string sourceZone; ///< Zone that sent it here; empty when a caller did.
    time_point arrived {}; ///< When it arrived.
    time_point deadline {}; ///< No use after this.
    std::uint32_t weight = 1; ///< 2 counts double.
    request_phase phase = request_phase::Seeking; ///< Where it stands.
    verdict known = verdict::NotRun; ///< What all its dispatches together say.
    std::uint32_t attempts = 0; ///< Dispatches so far.
    std::vector<std::string> avoid; ///< Endpoints and zones that failed it.
    bool claimed = false; ///< It owns its idempotency key.
    std::uint64_t claimVersion = 0; ///< Version of its claim in the store; 0 for a claim at a home.
    std::string askedVm; ///< Owner that was asked for a slot; empty for this VM.
    std::uint64_t reservation = 0; ///< Slot or credit it holds; 0 when none.
    std::string endpoint; ///< Where it is dispatched: an endpoint, or the zone of a hop.
    bool hop = false; ///< Dispatched to another entry VM.
};

/** Retries allowed in relation to requests, so that a full outage adds at most a tenth. */
struct retry_budget {
    std::uint32_t hundredths = 1000; ///< What is left, in hundredths of a retry.
    static constexpr std::uint32_t PerRequest = 10; ///< Added by each request.
    static constexpr std::uint32_t PerRetry = 100; ///< Taken by each retry.
    static constexpr std::uint32_t Highest = 1000; ///< Never more than this.
};

} // namespace lhub
