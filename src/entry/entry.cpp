/** @file entry.cpp The reducer: applies each event to the state. */
#include "entry/entry_internal.h"
#include "idempotency/idempotency_func.h"

namespace lhub {

entry_state makeEntry(const std::string& vm, const std::string& zone, std::uint64_t incarnation)
{
    entry_state state;
    state.vm = vm;
    state.zone = zone;
    state.members.self = vm;
    state.members.incarnation = incarnation;
    return state;
}

void logChange(entry_effects& effects, std::string text) { effects.push_back(log_change { std::move(text) }); }

/**
 * Completes a graceful stop: callers no longer have a look-up that names this VM, no request or release is in flight,
 * and no pool is left that another VM should own.
 */
static void completeStop(entry_state& state, entry_effects& effects)
{
    if (state.stopped || state.stopRequestedAt == time_point {})
        return;
    const auto earliestStop = state.stopRequestedAt + state.limits.lookupLifetime + state.limits.leavingSpreadTime;
    if (presentTime(state) < earliestStop || !state.requests.empty() || !state.pendingReleases.empty())
        return;
    for (const auto& [service, pool] : state.pools) {
        if (pool.role == pool_role::Owner && preferredOwner(state.members, service) != state.vm)
            return;
    }
    state.stopped = true;
    logChange(effects, "stop=complete");
    effects.push_back(stop_done {});
}

/** Does what is due with the passing of time. */
static void onTick(entry_state& state, entry_effects& effects)
{
    sendHeartbeats(state, effects);
    maintainOwnership(state, effects);
    maintainPools(state, effects);
    maintainLoans(state, effects);
    retryPending(state, effects);
    removeExpiredKeys(state.keys, presentTime(state));
    completeStop(state, effects);
}

static void onStop(entry_state& state, entry_effects& effects)
{
    if (state.stopRequestedAt != time_point {})
        return;
    state.stopRequestedAt = presentTime(state);
    state.members.leaving = true;
    state.nextHeartbeatAt = presentTime(state);
    logChange(effects, "stop=asked requests=" + std::to_string(state.requests.size()));
}

namespace {

    /** Calls the handler of an event. */
    struct event_visitor {
        entry_state& state; ///< State to change.
        entry_effects& effects; ///< Receives the effects.

        void operator()(const tick&) const { onTick(state, effects); }
        void operator()(const stop_asked&) const { onStop(state, effects); }
        void operator()(const config_arrived& event) const { onConfig(state, event, effects); }
        void operator()(const heartbeat_arrived& event) const { onHeartbeat(state, event, effects); }
        void operator()(const heartbeat_answered& event) const { onHeartbeatAnswer(state, event, effects); }
        void operator()(const peer_refused& event) const { onPeerRefused(state, event, effects); }
        void operator()(const acquire_arrived& event) const { onAcquire(state, event, effects); }
        void operator()(const acquire_answered& event) const { onAcquireAnswer(state, event, effects); }
        void operator()(const release_arrived& event) const { onRelease(state, event, effects); }
        void operator()(const release_answered& event) const { onReleaseAnswer(state, event, effects); }
        void operator()(const take_over_arrived& event) const { onTakeOver(state, event, effects); }
        void operator()(const take_over_answered& event) const { onTakeOverAnswer(state, event, effects); }
        void operator()(const held_arrived& event) const { onHeld(state, event, effects); }
        void operator()(const held_answered& event) const { onHeldAnswer(state, event, effects); }
        void operator()(const credit_arrived& event) const { onCredit(state, event, effects); }
        void operator()(const credit_answered& event) const { onCreditAnswer(state, event, effects); }
        void operator()(const lend_arrived& event) const { onLend(state, event, effects); }
        void operator()(const lend_answered& event) const { onLendAnswer(state, event); }
        void operator()(const request_arrived& event) const { onRequest(state, event, effects); }
        void operator()(const claim_answered& event) const { onClaim(state, event, effects); }
        void operator()(const key_claim_arrived& event) const { onKeyClaim(state, event, effects); }
        void operator()(const key_settled& event) const { onKeySettled(state, event); }
        void operator()(const dispatch_ended& event) const { onDispatchEnd(state, event, effects); }
        void operator()(const caller_left& event) const { onCallerLeft(state, event, effects); }
        void operator()(const probe_ended& event) const { onProbe(state, event, effects); }
    };

} // namespace

void reduce(entry_state& state, const timed_event& timed, entry_effects& effects)
{
    if (recordEventTime(state.members, timed.now)) {
        ++state.counters.pauses;
        abandonOwnership(state, effects);
    }
    std::visit(event_visitor { state, effects }, timed.event);
}

} // namespace lhub
