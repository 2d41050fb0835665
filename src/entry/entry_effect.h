/** @file entry_effect.h Effects of the reducer, as data: what an entry VM is to do. src/shell carries them out. */
#pragma once

#include "entry/entry_event.h"

namespace lhub {

/** Send a heartbeat to a peer; answered by heartbeat_answered. */
struct send_heartbeat {
    std::string vm; ///< Name of the peer.
    std::string address; ///< IP:port of the peer.
};

/** Ask the owner of a pool for a slot; answered by acquire_answered. */
struct send_acquire {
    std::string vm; ///< Name of the owner.
    std::string address; ///< IP:port of the VM.
    std::string service; ///< Service of the pool.
    acquire_request request; ///< What is asked for; callId is the id of the local request.
};

/** Answer a peer's acquire_arrived. */
struct reply_acquire {
    acquire_answer answer; ///< Decision; callId identifies the call.
};

/** Release a reservation at the owner of its pool; answered by release_answered. */
struct send_release {
    std::string vm; ///< Name of the owner.
    std::string address; ///< IP:port of the VM.
    release_arrived release; ///< The event that the owner is to receive.
};

/** Ask the owner of a pool to hand it over; answered by take_over_answered. */
struct send_take_over {
    std::string vm; ///< Name of the owner.
    std::string address; ///< IP:port of the VM.
    std::string service; ///< Service of the pool.
};

/** Answer a peer's take_over_arrived. */
struct reply_take_over {
    std::uint64_t callId = 0; ///< Identifies the call.
    bool handedOver = false; ///< Whether this VM has given up the pool.
    std::uint64_t epoch = 0; ///< Epoch of the ownership that ended; 0 when the pool was not handed over.
    std::vector<reservation_row> reservations; ///< Reservations of slots in the pool; empty when it was not handed over.
};

/** Ask a peer which reservations its requests hold; answered by held_answered. */
struct send_held {
    std::string vm; ///< Name of the peer.
    std::string address; ///< IP:port of the VM.
    std::string service; ///< Service of the pool.
};

/** Answer a new owner's held_arrived. */
struct reply_held {
    std::uint64_t callId = 0; ///< Identifies the call.
    std::vector<reservation_row> reservations; ///< Those that this VM's requests hold.
};

/** Ask another zone for credit; answered by credit_answered. */
struct send_credit {
    std::string zone; ///< Zone that is asked.
    std::string address; ///< IP:port of an entry VM of that zone.
    std::string service; ///< Service of the pool.
    std::uint32_t wanted = 0; ///< Requests in flight at the same time.
};

/** Answer another zone's credit_arrived. */
struct reply_credit {
    std::uint64_t callId = 0; ///< Identifies the call.
    bool owner = false; ///< Whether this VM owns the pool.
    std::uint32_t granted = 0; ///< Requests in flight at the same time; 0 when no slot is to spare.
    milliseconds valid { 0 }; ///< Lifetime of the grant.
};

/** Ask another zone for a part of its share of a shift's cap; answered by lend_answered. */
struct send_lend {
    std::string address; ///< IP:port of an entry VM of that zone.
    lend_arrived request; ///< The event that the other VM is to receive; its callId is unset.
    std::string lender; ///< Zone that is asked.
};

/** Answer another zone's lend_arrived. */
struct reply_lend {
    std::uint64_t callId = 0; ///< Identifies the call.
    std::string shift; ///< Name of the shift.
    bool owner = false; ///< Whether this VM owns the pool and the shift exists here.
    std::uint32_t granted = 0; ///< Moves a second; 0 when nothing is left over.
    milliseconds valid { 0 }; ///< Lifetime of the loan.
};

/** Claim an idempotency key in the store, through the agent; answered by claim_answered. */
struct send_claim {
    std::uint64_t id = 0; ///< Id of the request.
    std::string service; ///< Service of the request; the key is unique within it.
    std::string key; ///< The caller's key.
    std::string requestId; ///< Claimant, see claimantId() in entry_idempotency.cpp.
};

/** Claim a key at its home VM; answered by claim_answered. */
struct send_key_claim {
    std::uint64_t id = 0; ///< Id of the request.
    std::string address; ///< IP:port of the home.
    std::string key; ///< The key.
    std::string requestId; ///< Claimant, as in send_claim.
};

/** Answer a peer's key_claim_arrived. */
struct reply_key_claim {
    std::uint64_t callId = 0; ///< Identifies the call.
    claim_result result = claim_result::Unknown; ///< Whether the claimant owns the key.
    verdict known = verdict::MayHaveRun; ///< Whether the request that owns the key ran, when repeated.
};

/** Tell a key's home whether the request that owns the key ran. There is no answer. */
struct send_key_settled {
    std::string address; ///< IP:port of the home.
    key_settled settled; ///< The event that the home is to receive.
};

/** Remove a claim from the store, through the agent: the request did not run. There is no answer. */
struct send_unclaim {
    std::string service; ///< Service of the request.
    std::string key; ///< The caller's key.
    std::uint64_t version = 0; ///< Version of the claim in the store.
};

/** Send a request to an endpoint or to another entry VM; answered by dispatch_ended. */
struct dispatch {
    std::uint64_t id = 0; ///< Id of the request.
    std::string address; ///< IP:port to send it to.
    bool hop = false; ///< Whether it goes to an entry VM of another zone.
    time_point deadline {}; ///< When the attempt ends as timed out.
};

/** Answer the caller with a problem document: the request failed. */
struct answer_caller {
    std::uint64_t id = 0; ///< Id of the request.
    unsigned status = 503; ///< HTTP status.
    verdict known = verdict::NotRun; ///< Whether it ran, as far as is known.
    std::string reason; ///< Why it failed, for people.
};

/** Probe an endpoint; answered by probe_ended. */
struct send_probe {
    std::string service; ///< Service of the pool.
    std::string endpoint; ///< Name of the endpoint.
    std::string address; ///< IP:port of the endpoint.
    std::string path; ///< Path of the HTTP request.
};

/** Write a log line about a change of state. */
struct log_change {
    std::string text; ///< Fields as name=value, separated by spaces.
};

/** The graceful stop is complete: nothing is in flight, and the process may exit. */
struct stop_done { };

/** Any effect. */
using entry_effect = std::variant<send_heartbeat, send_acquire, reply_acquire, send_release, send_take_over,
    reply_take_over, send_held, reply_held, send_credit, reply_credit, send_lend, reply_lend, send_claim, send_unclaim, send_key_claim,
    reply_key_claim, send_key_settled, dispatch,
    answer_caller, send_probe, log_change, stop_done>;

/** The effects of one event, in order. */
using entry_effects = std::vector<entry_effect>;

} // namespace lhub
