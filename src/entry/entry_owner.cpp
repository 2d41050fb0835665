/** @file entry_owner.cpp How the ownership of pools moves between the entry VMs of a zone. */
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

/** Forgets what this VM granted as an earlier owner. */
static void forgetGrants(pool_state& pool)
{
    pool.reservations.clear();
    pool.lent.clear();
    pool.held.clear();
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

/** The reservations that this VM's own requests hold for a service. */
static std::vector<reservation_row> heldReservations(const entry_state& state, const std::string& service)
{
    std::vector<reservation_row> rows;
    for (const auto& [id, request] : state.requests) {
        if (request.service != service || request.reservation == 0 || request.hop)
            continue;
        const auto left = elapsed(presentTime(state), request.deadline) + seconds(1);
        rows.push_back({ request.reservation, request.endpoint, state.vm, left });
    }
    return rows;
}

static void restoreRows(entry_state& state, pool_state& pool, const std::vector<reservation_row>& rows)
{
    for (const auto& row : rows)
        addReservation(pool, row.id, { row.endpoint, row.vm, presentTime(state) + row.left, {}, false });
}

/** Becomes the owner. @p complete says whether all reservations of the earlier owner are known. */
static void becomeOwner(entry_state& state, pool_state& pool, bool complete, entry_effects& effects)
{
    pool.epoch = std::max(pool.epoch, highestEpoch(state.members, pool.service)) + 1;
    pool.lastReservation = 0;
    pool.lendNotBefore = presentTime(state) + pool.limits.creditLifetime;
    assumeWarm(pool, presentTime(state));
    restoreRows(state, pool, heldReservations(state, pool.service));
    if (!complete)
        markFreeSlotsUnaccounted(pool, presentTime(state));
    for (auto& [name, shift] : state.shifts[pool.service])
        resetShift(shift, presentTime(state));
    ++state.counters.takeOvers;
    state.nextProbe = presentTime(state);
    state.nextHeartbeat = presentTime(state);
    setRole(state, pool, pool_role::Owner, effects);
    serveOwnedPool(state, pool, effects);
}

void recoverPool(entry_state& state, pool_state& pool, entry_effects& effects)
{
    forgetGrants(pool);
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
        forgetGrants(pool);
        setRole(state, pool, pool_role::TakingOver, effects);
        effects.push_back(send_take_over { owner->vm, owner->address, pool.service });
        return;
    }
    if (presentTime(state) < state.members.admitNotBefore || !allLivePeersAnswered(state.members))
        return;
    recoverPool(state, pool, effects);
}

void maintainOwnership(entry_state& state, entry_effects& effects)
{
    for (auto& [service, pool] : state.pools) {
        const bool late = presentTime(state) >= pool.roleSince + state.limits.recoverWithin;
        if (pool.role == pool_role::Follower)
            maintainFollower(state, pool, effects);
        else if (pool.role == pool_role::TakingOver && late)
            setRole(state, pool, pool_role::Follower, effects);
        if (pool.role == pool_role::Recovering && (pool.awaitedPeers.empty() || late))
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
    for (const auto& [id, held] : pool.reservations) {
        if (!held.hop)
            reply.reservations.push_back({ id, held.endpoint, held.vm, elapsed(presentTime(state), held.expiresAt) });
    }
    effects.push_back(std::move(reply));
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
    restoreRows(state, pool, event.reservations);
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
    restoreRows(state, pool, event.reservations);
    pool.awaitedPeers.erase(event.vm);
    if (pool.awaitedPeers.empty())
        becomeOwner(state, pool, false, effects);
}

void lapseOwnership(entry_state& state, entry_effects& effects)
{
    logChange(effects, "process=was_paused");
    for (auto& [service, pool] : state.pools) {
        if (pool.role != pool_role::Follower)
            stepDown(state, pool, effects);
    }
}

} // namespace lhub
