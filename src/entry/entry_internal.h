/** @file entry_internal.h Functions that the source files of the reducer share. Not for use outside src/entry. */
#pragma once

#include "entry/entry_func.h"
#include "member/member_func.h"
#include "pool/pool_func.h"

namespace lhub {

/** Time of the event that is being reduced. */
inline time_point presentTime(const entry_state& state) { return state.members.lastEventAt; }

/** Adds an effect that logs a change of state. */
void logChange(entry_effects& effects, std::string text);

// -- entry_member.cpp
void onConfig(entry_state& state, const config_arrived& event, entry_effects& effects);
void onHeartbeat(entry_state& state, const heartbeat_arrived& event, entry_effects& effects);
void onHeartbeatAnswer(entry_state& state, const heartbeat_answered& event, entry_effects& effects);
void onPeerRefused(entry_state& state, const peer_refused& event, entry_effects& effects);
/** Sends heartbeats to all peers when they are due. */
void sendHeartbeats(entry_state& state, entry_effects& effects);

// -- entry_pool.cpp
void onAcquire(entry_state& state, const acquire_arrived& event, entry_effects& effects);
void onRelease(entry_state& state, const release_arrived& event, entry_effects& effects);
void onCredit(entry_state& state, const credit_arrived& event, entry_effects& effects);
void onCreditAnswer(entry_state& state, const credit_answered& event, entry_effects& effects);
void onProbe(entry_state& state, const probe_ended& event, entry_effects& effects);
/**
 * Decides whether a request gets a slot, moves to another zone, waits or is refused. Precondition: this VM owns the
 * pool.
 */
void decideAcquire(entry_state& state, pool_state& pool, const acquire_request& request, entry_effects& effects);
/** Delivers answers to local requests, and to peers as effects. */
void deliverAnswers(entry_state& state, const std::vector<acquire_answer>& answers, entry_effects& effects);
/** Serves the queue of a pool, if this VM owns it and may admit. */
void serveOwnedPool(entry_state& state, pool_state& pool, entry_effects& effects);
/** Serves the pools that this VM owns, and sends probes and credit requests that are due. */
void maintainPools(entry_state& state, entry_effects& effects);

/** Names of the entry VMs of @p zone that are not leaving, in the order of rendezvous hashing for @p key. */
std::vector<std::string> rankedVms(const entry_state& state, const std::string& zone, std::uint64_t key);

/**
 * The entry VM of @p zone to ask for credit or loans: the likely owner of the service's pool first, then the others in
 * turn as entry_state::contactTurn counts up. Null when the zone has none.
 */
const vm_config* zoneContact(entry_state& state, const std::string& service, const std::string& zone);

// -- entry_shift.cpp
void onLend(entry_state& state, const lend_arrived& event, entry_effects& effects);
void onLendAnswer(entry_state& state, const lend_answered& event);
/** Sends the loan requests that are due, for the shifts whose pool this VM owns. */
void maintainLoans(entry_state& state, entry_effects& effects);

// -- entry_owner.cpp
void onTakeOver(entry_state& state, const take_over_arrived& event, entry_effects& effects);
void onTakeOverAnswer(entry_state& state, const take_over_answered& event, entry_effects& effects);
void onHeld(entry_state& state, const held_arrived& event, entry_effects& effects);
void onHeldAnswer(entry_state& state, const held_answered& event, entry_effects& effects);
/** Advances the role of this VM in every pool: starts a take-over or a recovery, or ends one. */
void maintainOwnership(entry_state& state, entry_effects& effects);
/** Asks all living peers which reservations they hold; becomes the owner once they have answered or time is up. */
void startRecovery(entry_state& state, pool_state& pool, entry_effects& effects);
/** Becomes a follower: waiting requests are to look for the new owner. */
void stepDown(entry_state& state, pool_state& pool, entry_effects& effects);
/** Gives up all pools without a hand-over: the process was paused, so its leases have expired. */
void abandonOwnership(entry_state& state, entry_effects& effects);

// -- entry_idempotency.cpp
void onKeyClaim(entry_state& state, const key_claim_arrived& event, entry_effects& effects);
void onKeySettled(entry_state& state, const key_settled& event);
/** Starts the claim of the request's key, at its home or in the store; onClaim() continues the request. */
void startClaim(entry_state& state, request_state& request, entry_effects& effects);
/** Ends the claim of a request that has ended: reports its verdict to the home, or removes an unused claim. */
void settleClaim(entry_state& state, const request_state& request, verdict known, entry_effects& effects);

// -- entry_request.cpp
void onRequest(entry_state& state, const request_arrived& event, entry_effects& effects);
void onClaim(entry_state& state, const claim_answered& event, entry_effects& effects);
void onAcquireAnswer(entry_state& state, const acquire_answered& event, entry_effects& effects);
void onDispatchEnd(entry_state& state, const dispatch_ended& event, entry_effects& effects);
void onCallerLeft(entry_state& state, const caller_left& event, entry_effects& effects);
void onReleaseAnswer(entry_state& state, const release_answered& event, entry_effects& effects);
/** Applies the answer of a pool's owner to a local request. */
void applyAnswer(entry_state& state, const acquire_answer& answer, entry_effects& effects);
/** Retries requests whose pool had no owner, and releases that were not answered. */
void retryPending(entry_state& state, entry_effects& effects);

} // namespace lhub
