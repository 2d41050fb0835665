/** @file entry_type.h The state of an entry VM that the reducer works on. */
#pragma once

#include "burn_rate/burn_rate_type.h"
#include "entry/entry_effect.h"
#include "idempotency/idempotency_type.h"
#include "shift/shift_type.h"
#include <memory>

namespace lhub {

/** Limits and intervals of an entry VM. */
struct entry_limits {
    milliseconds seekInterval { 20 }; ///< Requests whose pool has no known owner look for one this often.
    milliseconds probeInterval { 1000 }; ///< Time between two probes of one endpoint.
    milliseconds recoveryTimeout { 500 }; ///< Longest wait for answers in a recovery or a take-over.
    milliseconds releaseRetryInterval { 250 }; ///< An unanswered release is sent again after this.
    seconds lookupLifetime { 5 }; ///< How long callers may cache a look-up; from the settings.
    seconds leavingSpreadTime { 4 }; ///< Time after which every VM knows that this one is leaving.
    std::uint32_t maxRequests = 20'000; ///< Most requests in flight; further ones are refused.
};

/** Counters since the start of the process, for metrics and status. */
struct entry_counters {
    std::uint64_t lookups = 0; ///< Look-ups answered.
    std::uint64_t requests = 0; ///< Requests that arrived.
    std::uint64_t whole = 0; ///< Requests whose whole answer was relayed.
    std::uint64_t refused = 0; ///< Requests that ended without having run.
    std::uint64_t uncertain = 0; ///< Requests that ended without a whole answer and may have run.
    std::uint64_t repeated = 0; ///< Requests whose idempotency key another request owned.
    std::uint64_t retries = 0; ///< Further attempts of requests after the first.
    std::uint64_t hops = 0; ///< Dispatches to other zones.
    std::uint64_t moved = 0; ///< Requests that shifts moved to other zones.
    std::uint64_t takeOvers = 0; ///< Times that this VM became the owner of a pool.
    std::uint64_t pauses = 0; ///< Times that the process was found to have been paused.
};

/** A release that the owner has not answered yet. */
struct pending_release {
    release_arrived release; ///< The release to send.
    time_point retryAt {}; ///< When to send it again.
    time_point expiresAt {}; ///< When the reservation has expired at the owner: the release is dropped.
};

/** The state that reduce() works on. */
struct entry_state {
    std::string vm; ///< Name of this VM.
    std::string zone; ///< Zone of this VM.
    std::string region; ///< Region of this VM, as configured; empty until the configuration arrives.
    config_state config; ///< Configuration: objects with their versions.
    config_view view; ///< Configuration: parsed objects.
    time_point confirmedAt {}; ///< When the store last confirmed the configuration, as a lower bound.
    member_state members; ///< Membership of the zone.
    std::map<std::string, pool_state> pools; ///< By service.
    std::map<std::string, std::map<std::string, shift_progress>> shifts; ///< By service, then name.
    std::map<std::uint64_t, request_state> requests; ///< In flight, by id.
    std::map<std::uint64_t, pending_release> pendingReleases; ///< By id of the reservation.
    std::map<std::string, std::uint32_t> contactTurn; ///< Index for zoneContact(), by "service/zone".
    key_memory keys; ///< Idempotency keys whose home this VM is.
    std::map<std::string, burn_series> burn; ///< Good and bad requests over time, by service.
    retry_budget retries; ///< Retries allowed in relation to requests.
    time_point nextHeartbeatAt {}; ///< When heartbeats are due.
    time_point nextProbe {}; ///< When probes are due.
    time_point nextSeekAt {}; ///< When requests without a known owner look for one again.
    time_point stopRequestedAt {}; ///< When the stop was requested; the default value until then.
    bool stopped = false; ///< Whether the stop is complete: stop_done was sent.
    entry_limits limits; ///< Limits and intervals.
    entry_counters counters; ///< Counters since the start.
};

} // namespace lhub
