/** @file entry_type.h The whole state of an entry VM. */
#pragma once

#include "burn/burn_type.h"
#include "entry/entry_effect.h"
#include "once/once_type.h"
#include "shift/shift_type.h"
#include <memory>

namespace lhub {

/** Bounds of an entry VM. */
struct entry_limits {
    milliseconds seekEvery { 20 }; ///< A request without a known owner asks again after this.
    milliseconds probeEvery { 1000 }; ///< Time between two probes of one endpoint.
    milliseconds recoverWithin { 500 }; ///< A new owner waits this long for its peers' reservations.
    milliseconds releaseEvery { 250 }; ///< An unanswered release is sent again after this.
    seconds lookupLifetime { 5 }; ///< Callers may cache a look-up this long.
    seconds spreadTime { 4 }; ///< Until then every VM knows that this one is leaving.
    std::uint32_t mostRequests = 20'000; ///< Requests in flight; more are refused.
};

/** Counters, in the order in which they are read most. */
struct entry_counters {
    std::uint64_t lookups = 0; ///< Look-ups answered.
    std::uint64_t requests = 0; ///< Requests that arrived.
    std::uint64_t whole = 0; ///< Requests answered whole.
    std::uint64_t refused = 0; ///< Requests refused as not run.
    std::uint64_t uncertain = 0; ///< Requests that may have run.
    std::uint64_t repeated = 0; ///< Requests whose key was claimed before.
    std::uint64_t retries = 0; ///< Dispatches after the first.
    std::uint64_t hops = 0; ///< Dispatches to other zones.
    std::uint64_t moved = 0; ///< Requests moved by shifts.
    std::uint64_t takeOvers = 0; ///< Pools that came to this VM.
    std::uint64_t pauses = 0; ///< Times that this process was found paused.
};

/** A release that was not answered yet. */
struct pending_release {
    release_arrived release; ///< What to send.
    time_point again {}; ///< When to send it again.
    time_point lapses {}; ///< No use after this: the owner took it back.
};

/** The state that reduce() works on. */
struct entry_state {
    std::string vm; ///< This VM.
    std::string zone; ///< Its zone.
    std::string region; ///< Its region, as configured; empty until known.
    config_state config; ///< Configuration, as versions.
    config_view view; ///< Configuration, parsed.
    time_point confirmedAt {}; ///< When the store last confirmed it.
    member_state members; ///< The zone's other entry VMs.
    std::map<std::string, pool_state> pools; ///< By service.
    std::map<std::string, std::map<std::string, shift_progress>> shifts; ///< By service, then name.
    std::map<std::uint64_t, request_state> requests; ///< In flight, by id.
    std::map<std::uint64_t, pending_release> releases; ///< By reservation.
    std::map<std::string, std::uint32_t> creditTurn; ///< Next VM to ask, by "service/zone".
    key_memory keys; ///< Idempotency keys whose home this VM is.
    std::map<std::string, burn_series> burn; ///< Good and bad events, by service.
    retry_budget retries; ///< For retries.
    time_point nextHeartbeat {}; ///< When heartbeats are due.
    time_point nextProbe {}; ///< When probes are due.
    time_point nextSeek {}; ///< When requests without an owner ask again.
    time_point stopAsked {}; ///< When the stop was asked for.
    bool stopped = false; ///< stop_done was said.
    entry_limits limits; ///< Bounds.
    entry_counters counters; ///< Counters.
};

} // namespace lhub
