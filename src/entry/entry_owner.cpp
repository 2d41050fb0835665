/** @file entry_owner.cpp Ownership of pools: hand-over between entry VMs, and recovery after the death of an owner. */
#include "entry/entry_internal.h"
#include "shift/shift_func.h"

#include <algorithm>

namespace lhub {

static void setRole(entry_state& state, pool_state& pool, pool_role role, entry_effects& effects)
{
    pool.role = role;
    pool.roleSince = presentTime(state);
    logChange(effects,
        "pool=" + pool.service + " role=" + std::string(nameOf(PoolRoleNames, role))
            + " epoch=" + std::to_string(pool.epoch));
}

/** Removes what this VM granted or held when it was the owner before. */
static void clearGrants(pool_state& pool)
{
    pool.reservations.clear();
    pool.creditsLent.clear();
    pool.creditsHeld.clear();
    pool.localInflight = 0;
    pool.localDemandPeak = 0;
    for (auto& [name, endpoint] : pool.endpoints)
        endpoint.inflight = 0;
}

void stepDown(entry_state& state, pool_state& pool, entry_effects& effects)
{
    std::vector<acquire_answer> answers;
    flushQueue(pool, acquire_result::NotOwner, answers);
    setRole(state, pool, pool_role::Follower, effects);
    deliverAnswers(state, answers, effects);
}

/** Reservations of slots that this VM's own requests hold in the pool of a service. */
static std::vector<reservation_row> heldReservations(const entry_state& state, const std::string& service)
{
    std::vector<reservation_row> rows;
    for (const auto& [id, request] : state.requests) {
        if (request.service != service || request.reservation == 0 || request.hop)
            continue;
        // One second after the deadline, as pool_limits::expiryGrace.
        const auto left = elapsed(presentTime(state), request.deadline) + seconds(1);
        rows.push_back({ request.reservation, request.endpoint, state.vm, left });
    }
    return rows;
}

static void restoreReservations(entry_state& state, pool_state& pool, const std::vector<reservation_row>& rows)
{
    for (const auto& row : rows)
        addReservation(pool, row.id, { row.endpoint, row.vm, presentTime(state) + row.left, {}, false });
}

/**
 * Becomes the owner.
 * @param allKnown whether all reservations of the earlier owner are known. Otherwise the free slots count as
 * unaccounted at first.
 */
static void becomeOwner(entry_state& state, pool_state& pool, bool allKnown, entry_effects& effects)
{
    pool.epoch = std::max(pool.epoch, highestEpoch(state.members, pool.service)) + 1;
    pool.lastReservation = 0;
    pool.lendNotBefore = presentTime(state) + pool.limits.creditLifetime;
    assumeWarm(pool, presentTime(state));
    restoreReservations(state, pool, heldReservations(state, pool.service));
    if (!allKnown)
        markFreeSlotsUnaccounted(pool, presentTime(state));
    for (auto& [name, shift] : state.shifts[pool.service])
        resetShift(shift, presentTime(state));
    ++state.counters.takeOvers;
    state.nextProbe = presentTime(state);
    state.nextHeartbeatAt = presentTime(state);
    setRole(state, pool, pool_role::Owner, effects);
    serveOwnedPool(state, pool, effects);
}

void startRecovery(entry_state& state, pool_state& pool, entry_effects& effects)
{
    clearGrants(pool);
    pool.awaitedPeers.clear();
    for (const auto& [vm, peer] : state.members.peers) {
        if (!isAlive(state.members, peer))
            continue;
        pool.awaitedPeers.insert(vm);
        effects.push_back(send_held { vm, peer.address, pool.service });
    }
    setRole(state, pool, pool_role::Recovering, effects);
}

static void maintainFollower(entry_state& state, pool_state& pool, entry_effects& effects)
{
    if (preferredOwner(state.members, pool.service) != state.vm)
        return;
    const auto* owner = announcedOwner(state.members, pool.service);
    if (owner) {
        clearGrants(pool);
        setRole(state, pool, pool_role::TakingOver, effects);
        effects.push_back(send_take_over { owner->vm, owner->address, pool.service });
        return;
    }
    if (presentTime(state) < state.members.admitNotBefore || !allLivePeersAnswered(state.members))
        return;
    startRecovery(state, pool, effects);
}

void maintainOwnership(entry_state& state, entry_effects& effects)
{
    for (auto& [service, pool] : state.pools) {
        const bool timedOut = presentTime(state) >= pool.roleSince + state.limits.recoveryTimeout;
        if (pool.role == pool_role::Follower)
            maintainFollower(state, pool, effects);
        else if (pool.role == pool_role::TakingOver && timedOut)
            setRole(state, pool, pool_role::Follower, effects);
        if (pool.role == pool_role::Recovering && (pool.awaitedPeers.empty() || timedOut))
            becomeOwner(state, pool, false, effects);
    }
}

void onTakeOver(entry_state& state, const take_over_arrived& event, entry_effects& effects)
{
    reply_take_over reply { event.callId, false, 0, {} };
    const auto found = state.pools.find(event.service);
    if (found == state.pools.end() || found->second.role != pool_role::Owner
        || preferredOwner(state.members, event.service) != event.vm) {
        effects.push_back(std::move(reply));
        return;
    }
    auto& pool = found->second;
    reply.handedOver = true;
    reply.epoch = pool.epoch;
    for (const auto& [id, reserved] : pool.reservations) {
        if (!reserved.hop)
            reply.reservations.push_back(
                { id, reserved.endpoint, reserved.vm, elapsed(presentTime(state), reserved.expiresAt) });
    }
    effects.push_back(std::move(reply));
    // Waiting requests go to the new owner at once, not only after its first heartbeat.
    state.members.peers[event.vm].owned[event.service] = pool.epoch + 1;
    stepDown(state, pool, effects);
}

void onTakeOverAnswer(entry_state& state, const take_over_answered& event, entry_effects& effects)
{
    const auto found = state.pools.find(event.service);
    if (found == state.pools.end() || found->second.role != pool_role::TakingOver)
        return;
    auto& pool = found->second;
    if (!event.handedOver) {
        setRole(state, pool, pool_role::Follower, effects);
        return;
    }
    state.members.peers[event.vm].owned.erase(event.service);
    pool.epoch = std::max(pool.epoch, event.epoch);
    restoreReservations(state, pool, event.reservations);
    becomeOwner(state, pool, true, effects);
}

void onHeld(entry_state& state, const held_arrived& event, entry_effects& effects)
{
    effects.push_back(reply_held { event.callId, heldReservations(state, event.service) });
}

void onHeldAnswer(entry_state& state, const held_answered& event, entry_effects& effects)
{
    const auto found = state.pools.find(event.service);
    if (found == state.pools.end() || found->second.role != pool_role::Recovering)
        return;
    auto& pool = found->second;
    restoreReservations(state, pool, event.reservations);
    pool.awaitedPeers.erase(event.vm);
    if (pool.awaitedPeers.empty())
        becomeOwner(state, pool, false, effects);
}

void abandonOwnership(entry_state& state, entry_effects& effects)
{
    logChange(effects, "process=was_paused");
    for (auto& [service, pool] : state.pools) {
        if (pool.role != pool_role::Follower)
            stepDown(state, pool, effects);
    }
}

} // namespace lhub
