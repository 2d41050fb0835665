/** @file entry_effect.h Everything an entry VM does, as data. The shell carries it out. */
#pragma once

#include "entry/entry_event.h"

namespace lhub {

/** Send a heartbeat to a peer. */
struct send_heartbeat {
    std::string vm; ///< To whom.
    std::string address; ///< Where.
};

/** Ask the owner of a pool for a slot; answered by acquire_answered. */
struct send_acquire {
    std::string vm; ///< The owner.
    std::string address; ///< Where.
    std::string service; ///< Which pool.
    acquire_request request; ///< callId is the request's id.
};

/** Answer a peer's acquire. */
struct reply_acquire {
    acquire_answer answer; ///< callId names the call.
};

/** Give a reservation back to its owner; answered by release_answered. */
struct send_release {
    std::string vm; ///< The owner.
    std::string address; ///< Where.
    release_arrived release; ///< What.
};

/** Ask the owner of a pool to hand it over. */
struct send_take_over {
    std::string vm; ///< The owner.
    std::string address; ///< Where.
    std::string service; ///< Which pool.
};

/** Answer a peer's take-over. */
struct reply_take_over {
    std::uint64_t callId = 0; ///< Names the call.
    bool handedOver = false; ///< Whether the pool is given up.
    std::uint64_t epoch = 0; ///< Epoch that ended.
    std::vector<reservation_row> reservations; ///< What was granted.
};

/** Ask a peer which reservations it holds. */
struct send_held {
    std::string vm; ///< Whom.
    std::string address; ///< Where.
    std::string service; ///< Which pool.
};

/** Answer a new owner. */
struct reply_held {
    std::uint64_t callId = 0; ///< Names the call.
    std::vector<reservation_row> reservations; ///< What this VM holds.
};

/** Ask another zone for credit. */
struct send_credit {
    std::string zone; ///< Which zone.
    std::string address; ///< An entry VM there.
    std::string service; ///< Which pool.
    std::uint32_t wanted = 0; ///< Concurrent requests.
};

/** Answer another zone's credit request. */
struct reply_credit {
    std::uint64_t callId = 0; ///< Names the call.
    bool owner = false; ///< Whether this VM owns the pool.
    std::uint32_t granted = 0; ///< Concurrent requests.
    milliseconds valid { 0 }; ///< Lifetime of the grant.
};

/** Ask another zone for a part of its share of a shift. */
struct send_lend {
    std::string address; ///< An entry VM there.
    lend_arrived request; ///< What is asked; callId is unset.
    std::string lender; ///< Zone that is asked.
};

/** Answer another zone's request for a loan. */
struct reply_lend {
    std::uint64_t callId = 0; ///< Names the call.
    std::string shift; ///< Which shift.
    bool owner = false; ///< Whether this VM owns the pool.
    std::uint32_t granted = 0; ///< Moves a second.
    milliseconds valid { 0 }; ///< Lifetime of the loan.
};

/** Claim an idempotency key through the agent. */
struct send_claim {
    std::uint64_t id = 0; ///< Which request.
    std::string service; ///< Scope of the key.
    std::string key; ///< The key.
    std::string requestId; ///< Who claims.
};

/** Claim a key at its home; answered by claim_answered. */
struct send_key_claim {
    std::uint64_t id = 0; ///< Which request.
    std::string address; ///< The home.
    std::string key; ///< The key.
    std::string requestId; ///< Who claims.
};

/** Answer a peer's claim. */
struct reply_key_claim {
    std::uint64_t callId = 0; ///< Names the call.
    claim_result result = claim_result::Unknown; ///< How it ended.
    verdict known = verdict::MayHaveRun; ///< Of the request that owns the key.
};

/** Tell a key's home how the request that owns it ended. */
struct send_key_settled {
    std::string address; ///< The home.
    key_settled settled; ///< What to say.
};

/** Give a claim back: the request did not run. */
struct send_unclaim {
    std::string service; ///< Scope of the key.
    std::string key; ///< The key.
    std::uint64_t version = 0; ///< Version of the claim.
};

/** Send the request to an endpoint or to another entry VM. */
struct dispatch {
    std::uint64_t id = 0; ///< Which request.
    std::string address; ///< Where to.
    bool hop = false; ///< To another entry VM.
    time_point deadline {}; ///< Give up then.
};

/** Answer the caller with a problem document. */
struct answer_caller {
    std::uint64_t id = 0; ///< Which request.
    unsigned status = 503; ///< HTTP status.
    verdict known = verdict::NotRun; ///< What is known of its execution.
    std::string reason; ///< For people.
};

/** Probe an endpoint. */
struct send_probe {
    std::string service; ///< Which pool.
    std::string endpoint; ///< Which endpoint.
    std::string address; ///< Where.
    std::string path; ///< What to ask for.
};

/** Write a line: a state changed. */
struct log_change {
    std::string text; ///< Fields as name=value.
};

/** The graceful stop is complete: nothing is in flight. */
struct stop_done { };

/** Any effect. */
using entry_effect = std::variant<send_heartbeat, send_acquire, reply_acquire, send_release, send_take_over,
    reply_take_over, send_held, reply_held, send_credit, reply_credit, send_lend, reply_lend, send_claim, send_unclaim, send_key_claim,
    reply_key_claim, send_key_settled, dispatch,
    answer_caller, send_probe, log_change, stop_done>;

/** What one event brings about. */
using entry_effects = std::vector<entry_effect>;

} // namespace lhub
