/** @file entry_member.cpp Events of the configuration and the membership of an entry VM. */
#include "config/config_func.h"
#include "entry/entry_internal.h"
#include "shift/shift_func.h"

#include <algorithm>

namespace lhub {

/** Applies the configured endpoints to a pool. One that is new, moved or no longer drained starts cold. */
static void syncEndpoints(const entry_state& state, pool_state& pool)
{
    static const std::map<std::string, endpoint_config> Empty;
    const auto listed = state.view.endpoints.find(pool.service);
    const auto& endpoints = listed == state.view.endpoints.end() ? Empty : listed->second;
    std::erase_if(pool.endpoints, [&](const auto& item) {
        const auto found = endpoints.find(item.first);
        return found == endpoints.end() || found->second.zone != state.zone;
    });
    for (const auto& [name, config] : endpoints) {
        if (config.zone != state.zone)
            continue;
        auto& endpoint = pool.endpoints[name];
        const bool drained = isEndpointDrained(state.view, config);
        if (endpoint.address != config.address || (endpoint.drained && !drained)) {
            endpoint.cold = true;
            endpoint.configuredAt = presentTime(state);
        }
        endpoint.address = config.address;
        endpoint.slots = config.slots;
        endpoint.drained = drained;
    }
}

/** Applies the configured services to the pools. A removed service keeps its pool while reservations are left. */
static void syncPools(entry_state& state)
{
    std::erase_if(state.pools, [&](const auto& item) {
        return state.view.services.count(item.first) == 0 && item.second.reservations.empty();
    });
    for (const auto& [name, service] : state.view.services) {
        auto& pool = state.pools[name];
        pool.service = name;
        pool.maxRequestLifetime = milliseconds(service.deadlineMs);
        syncEndpoints(state, pool);
    }
}

/** Applies the configured shifts. */
static void syncShifts(entry_state& state)
{
    for (auto& [service, shifts] : state.shifts) {
        std::erase_if(shifts, [&](const auto& item) {
            const auto found = state.view.shifts.find(item.first);
            return found == state.view.shifts.end() || found->second.service != service;
        });
    }
    for (const auto& [name, config] : state.view.shifts)
        configureShift(state.shifts[config.service][name], config, state.zone, presentTime(state));
}

/** Applies the registered VMs of the zone to the membership. */
static void syncPeers(entry_state& state)
{
    std::vector<std::string> registered;
    for (const auto& [name, vm] : state.view.vms) {
        if (vm.zone != state.zone)
            continue;
        registered.push_back(name);
        addPeer(state.members, name, vm.peer, presentTime(state));
    }
    removeUnregisteredPeers(state.members, registered);
    const vm_config self { state.vm, state.zone, {}, {}, {}, 0, false };
    state.members.leaving = state.stopRequestedAt != time_point {} || isVmLeaving(state.view, self);
}

void onConfig(entry_state& state, const config_arrived& event, entry_effects& effects)
{
    state.confirmedAt = std::max(state.confirmedAt, event.askedAt - event.age);
    bool changed = false;
    for (const auto& item : event.objects) {
        if (!mergeObject(state.config, item.key, item.object))
            continue;
        changed = true;
        for (const auto& fault : applyObject(state.view, item.key, item.object)) {
            logChange(effects,
                "config=rejected key=" + item.key + " field=" + fault.field + " value=" + fault.value
                    + " expected=" + fault.expected);
        }
    }
    state.config.revision = std::max(state.config.revision, event.revision);
    if (!changed)
        return;
    state.region = regionOf(state.view, state.zone);
    syncPools(state);
    syncShifts(state);
    syncPeers(state);
    logChange(effects, "config=in_force revision=" + std::to_string(state.config.revision));
    for (auto& [service, pool] : state.pools)
        serveOwnedPool(state, pool, effects);
}

/**
 * Resolves the case that this VM and a peer both own a pool: the higher epoch keeps it, then the higher name. The one
 * that keeps it recovers the reservations again, because the other one may have granted slots too.
 */
static void resolveOwnerConflicts(entry_state& state, const peer_state& report, entry_effects& effects)
{
    for (auto& [service, pool] : state.pools) {
        const auto owned = report.owned.find(service);
        if (owned == report.owned.end() || pool.role != pool_role::Owner)
            continue;
        const bool peerIsNewer = std::pair(owned->second, report.vm) > std::pair(pool.epoch, state.vm);
        logChange(effects,
            "pool=" + service + " conflict_with=" + report.vm + " outcome=" + (peerIsNewer ? "yield" : "keep"));
        if (peerIsNewer)
            stepDown(state, pool, effects);
        else
            startRecovery(state, pool, effects);
    }
}

void onHeartbeat(entry_state& state, const heartbeat_arrived& event, entry_effects& effects)
{
    addPeer(state.members, event.said.vm, event.said.address, presentTime(state));
    recordMessage(state.members, event.said, presentTime(state));
    resolveOwnerConflicts(state, event.said, effects);
}

void onHeartbeatAnswer(entry_state& state, const heartbeat_answered& event, entry_effects& effects)
{
    recordMessage(state.members, event.said, presentTime(state));
    recordAcknowledgement(state.members, event.said.vm, event.sentAt);
    resolveOwnerConflicts(state, event.said, effects);
}

void onPeerRefused(entry_state& state, const peer_refused& event, entry_effects& effects)
{
    const auto found = state.members.peers.find(event.vm);
    if (found == state.members.peers.end() || found->second.confirmedDead)
        return;
    recordConnectionRefused(state.members, event.vm);
    logChange(effects, "peer=" + event.vm + " state=gone");
    maintainOwnership(state, effects);
}

void sendHeartbeats(entry_state& state, entry_effects& effects)
{
    if (presentTime(state) < state.nextHeartbeatAt)
        return;
    state.nextHeartbeatAt = presentTime(state) + state.members.limits.heartbeatInterval;
    for (const auto& [vm, peer] : state.members.peers)
        effects.push_back(send_heartbeat { vm, peer.address });
}

} // namespace lhub
