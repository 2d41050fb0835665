/** @file entry_internal.h Steps that the parts of the reducer share. Not for use outside src/entry. */
#pragma once

#include "entry/entry_func.h"
#include "member/member_func.h"
#include "pool/pool_func.h"

namespace lhub {

/** Present time: that of the event being reduced. */
inline time_point presentTime(const entry_state& state) { return state.members.present; }

/** Writes a line about a change of state. */
void logChange(entry_effects& effects, std::string text);

// -- entry_member.cpp
void onConfig(entry_state& state, const config_arrived& event, entry_effects& effects);
void onHeartbeat(entry_state& state, const heartbeat_arrived& event, entry_effects& effects);
void onHeartbeatAnswer(entry_state& state, const heartbeat_answered& event, entry_effects& effects);
void onPeerRefused(entry_state& state, const peer_refused& event, entry_effects& effects);
/** Sends heartbeats when they are due. */
void sendHeartbeats(entry_state& state, entry_effects& effects);

// -- entry_pool.cpp
void onAcquire(entry_state& state, const acquire_arrived& event, entry_effects& effects);
void onRelease(entry_state& state, const release_arrived& event, entry_effects& effects);
void onCredit(entry_state& state, const credit_arrived& event, entry_effects& effects);
void onCreditAnswer(entry_state& state, const credit_answered& event, entry_effects& effects);
void onProbe(entry_state& state, const probe_ended& event, entry_effects& effects);
/** Decides where a request goes. Precondition: this VM owns the pool. */
void decideAcquire(entry_state& state, pool_state& pool, const acquire_request& request, entry_effects& effects);
/** Hands answers to local requests and to peers. */
void deliverAnswers(entry_state& state, const std::vector<acquire_answer>& answers, entry_effects& effects);
/** Serves the queue of a pool that this VM may admit to. */
void serveOwnedPool(entry_state& state, pool_state& pool, entry_effects& effects);
/** Sends probes and credit requests that are due. */
void maintainPools(entry_state& state, entry_effects& effects);

/** Names of the VMs of @p zone that are not leaving, by rendezvous for @p key. */
std::vector<std::string> rankedVms(const entry_state& state, const std::string& zone, std::uint64_t key);

/** The entry VM of @p zone that is asked about a service: its likely owner, then the others in turn. */
const vm_config* zoneTarget(entry_state& state, const std::string& service, const std::string& zone);

// -- entry_shift.cpp
void onLend(entry_state& state, const lend_arrived& event, entry_effects& effects);
void onLendAnswer(entry_state& state, const lend_answered& event);
/** Asks other zones of a shift for what they do not use of its cap. */
void maintainLoans(entry_state& state, entry_effects& effects);

// -- entry_owner.cpp
void onTakeOver(entry_state& state, const take_over_arrived& event, entry_effects& effects);
void onTakeOverAnswer(entry_state& state, const take_over_answered& event, entry_effects& effects);
void onHeld(entry_state& state, const held_arrived& event, entry_effects& effects);
void onHeldAnswer(entry_state& state, const held_answered& event, entry_effects& effects);
/** Moves ownership of all pools on by one step. */
void maintainOwnership(entry_state& state, entry_effects& effects);
/** Asks all living peers which reservations they hold, to become the owner afterwards. */
void recoverPool(entry_state& state, pool_state& pool, entry_effects& effects);
/** Ends an ownership: waiting requests look for the new owner. */
void stepDown(entry_state& state, pool_state& pool, entry_effects& effects);
/** Gives up all pools without a hand-over: the process was paused past its leases. */
void lapseOwnership(entry_state& state, entry_effects& effects);

// -- entry_once.cpp
void onKeyClaim(entry_state& state, const key_claim_arrived& event, entry_effects& effects);
void onKeySettled(entry_state& state, const key_settled& event);
/** Claims the request's key: at its home, or in the store. */
void claimKey(entry_state& state, request_state& request, entry_effects& effects);
/** The request has ended: its claim is settled or given back. */
void settleKey(entry_state& state, const request_state& request, verdict known, entry_effects& effects);

// -- entry_request.cpp
void onRequest(entry_state& state, const request_arrived& event, entry_effects& effects);
void onClaim(entry_state& state, const claim_answered& event, entry_effects& effects);
void onAcquireAnswer(entry_state& state, const acquire_answered& event, entry_effects& effects);
void onDispatchEnd(entry_state& state, const dispatch_ended& event, entry_effects& effects);
void onCallerLeft(entry_state& state, const caller_left& event, entry_effects& effects);
void onReleaseAnswer(entry_state& state, const release_answered& event, entry_effects& effects);
/** Carries out the answer of a pool's owner for a local request. */
void applyAnswer(entry_state& state, const acquire_answer& answer, entry_effects& effects);
/** Asks again for requests whose pool had no owner, and for releases that were not answered. */
void retryPending(entry_state& state, entry_effects& effects);

} // namespace lhub
