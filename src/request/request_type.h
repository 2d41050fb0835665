/** @file request_type.h One request of a caller, from arrival to response, and the budget of retries. */
#pragma once

#include "core/time_type.h"
#include "core/verdict_type.h"
#include <cstdint>
#include <string>
#include <vector>

namespace lhub {

/** State of a request. */
enum class request_phase {
    Claiming, ///< Its idempotency key is being claimed.
    Seeking, ///< No VM is known to own the pool of the service's endpoints; the owner is looked for again periodically.
    Acquiring, ///< The owner of the pool was asked for a slot of an endpoint.
    Dispatching, ///< It was sent to an endpoint, or to an entry VM of another zone.
};

/** Names of phases in traces. */
inline constexpr std::array<name_row<request_phase>, 4> RequestPhaseNames { {
    { request_phase::Claiming, "claiming" },
    { request_phase::Seeking, "seeking" },
    { request_phase::Acquiring, "acquiring" },
    { request_phase::Dispatching, "dispatching" },
} };

/** A request in progress at this VM. */
struct request_state {
    std::uint64_t id = 0; ///< Unique within the process.
    std::string requestId; ///< Request id that is passed on with every hop.
    std::string service; ///< Name of the requested service.
    std::string method; ///< HTTP method.
    std::string key; ///< Idempotency key; empty when it has none.
    std::string sourceZone; ///< Zone whose entry VM sent it here; empty when it came from a caller.
    time_point arrived {}; ///< When it arrived at this VM.
    time_point deadline {}; ///< It is not dispatched after this time.
    std::uint32_t weight = 1; ///< 2 for methods that the service weights double: they count twice for the objective and are queued before others.
    request_phase phase = request_phase::Seeking; ///< Current phase.
    verdict known = verdict::NotRun; ///< Combined verdict of all dispatches so far.
    std::uint32_t attempts = 0; ///< Dispatches so far.
    std::vector<std::string> avoid; ///< Endpoints and zones where a dispatch failed.
    bool holdsKeyClaim = false; ///< It holds the claim on its idempotency key.
    std::uint64_t claimVersion = 0; ///< Version of the claim in the store; 0 when the home VM that the key names keeps the claim.
    std::string slotOwnerVm; ///< Pool owner that was asked for a slot; empty when this VM is the owner.
    std::uint64_t reservation = 0; ///< Id of the reserved slot or credit; 0 when it holds none.
    std::string endpoint; ///< Target of the current dispatch: an endpoint, or a zone when hop is set.
    bool hop = false; ///< It was dispatched to an entry VM of another zone.
};

/** Limits retries to a tenth of the requests, so that in a full outage they add at most a tenth to the load. */
struct retry_budget {
    std::uint32_t hundredthsLeft = 1000; ///< Retries left, in hundredths.
    static constexpr std::uint32_t PerRequest = 10; ///< Hundredths that each request adds.
    static constexpr std::uint32_t PerRetry = 100; ///< Hundredths that each retry takes.
    static constexpr std::uint32_t MaxHundredths = 1000; ///< Upper limit of hundredths.
};

} // namespace lhub
