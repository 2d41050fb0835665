/** @file member.cpp Membership of a zone: heartbeats between its entry VMs show who is alive and may admit. */
#include "member/member_func.h"

#include "core/hash.h"
#include <algorithm>

namespace lhub {

bool recordEventTime(member_state& state, time_point now)
{
    const bool first = state.lastEventAt == time_point {};
    const auto gap = elapsed(state.lastEventAt, now);
    state.lastEventAt = std::max(state.lastEventAt, now);
    if (first || gap <= state.limits.pauseAfter)
        return false;
    state.admitNotBefore = now + state.limits.deadAfter;
    return true;
}

void addPeer(member_state& state, const std::string& vm, const std::string& address, time_point now)
{
    if (vm == state.self)
        return;
    auto& peer = state.peers[vm];
    if (peer.vm == vm && (peer.address == address || address.empty()))
        return;
    peer = peer_state {};
    peer.vm = vm;
    peer.address = address;
    peer.heardAt = now;
    peer.acknowledgedSentAt = now;
}

void removeUnregisteredPeers(member_state& state, const std::vector<std::string>& registered)
{
    std::erase_if(state.peers, [&](const auto& item) {
        const bool isRegistered = std::find(registered.begin(), registered.end(), item.first) != registered.end();
        return !isRegistered && !isAlive(state, item.second);
    });
}

void recordMessage(member_state& state, const peer_state& report, time_point now)
{
    const auto found = state.peers.find(report.vm);
    if (found == state.peers.end())
        return;
    auto& peer = found->second;
    if (report.incarnation < peer.incarnation)
        return;
    peer.confirmedDead = false;
    peer.incarnation = report.incarnation;
    peer.leaving = report.leaving;
    peer.owned = report.owned;
    peer.heardAt = std::max(peer.heardAt, now);
}

void recordAcknowledgement(member_state& state, const std::string& vm, time_point sentAt)
{
    const auto found = state.peers.find(vm);
    if (found == state.peers.end())
        return;
    found->second.hasAnswered = true;
    found->second.acknowledgedSentAt = std::max(found->second.acknowledgedSentAt, sentAt);
}

void recordConnectionRefused(member_state& state, const std::string& vm)
{
    const auto found = state.peers.find(vm);
    if (found == state.peers.end())
        return;
    found->second.confirmedDead = true;
    found->second.owned.clear();
}

bool isAlive(const member_state& state, const peer_state& peer)
{
    return !peer.confirmedDead && elapsed(peer.heardAt, state.lastEventAt) < state.limits.deadAfter;
}

bool mayAdmit(const member_state& state)
{
    if (state.lastEventAt < state.admitNotBefore)
        return false;
    return std::all_of(state.peers.begin(), state.peers.end(), [&](const auto& item) {
        const auto& peer = item.second;
        return !isAlive(state, peer) || elapsed(peer.acknowledgedSentAt, state.lastEventAt) < state.limits.leaseTime;
    });
}

std::string preferredOwner(const member_state& state, const std::string& service)
{
    std::vector<rendezvous_candidate> candidates;
    if (!state.leaving)
        candidates.push_back({ state.self, 1 });
    for (const auto& [vm, peer] : state.peers) {
        if (isAlive(state, peer) && !peer.leaving)
            candidates.push_back({ vm, 1 });
    }
    if (candidates.empty())
        return state.self;
    const auto order = rendezvousOrder(stableHash(service), candidates);
    return std::string(candidates[order.front()].name);
}

const peer_state* announcedOwner(const member_state& state, const std::string& service)
{
    const peer_state* best = nullptr;
    std::uint64_t bestEpoch = 0;
    for (const auto& [vm, peer] : state.peers) {
        const auto owned = peer.owned.find(service);
        if (owned == peer.owned.end() || !isAlive(state, peer))
            continue;
        if (best && owned->second <= bestEpoch)
            continue;
        best = &peer;
        bestEpoch = owned->second;
    }
    return best;
}

std::uint64_t highestEpoch(const member_state& state, const std::string& service)
{
    std::uint64_t highest = 0;
    for (const auto& [vm, peer] : state.peers) {
        const auto owned = peer.owned.find(service);
        if (owned != peer.owned.end())
            highest = std::max(highest, owned->second);
    }
    return highest;
}

std::vector<std::string> peersToDeregister(const member_state& state)
{
    std::vector<std::string> names;
    for (const auto& [vm, peer] : state.peers) {
        if (!isAlive(state, peer) && elapsed(peer.heardAt, state.lastEventAt) >= state.limits.deregisterAfter)
            names.push_back(vm);
    }
    return names;
}

bool allLivePeersAnswered(const member_state& state)
{
    return std::all_of(state.peers.begin(), state.peers.end(), [&](const auto& item) {
        const auto& peer = item.second;
        if (!isAlive(state, peer))
            return true;
        return peer.hasAnswered && elapsed(peer.acknowledgedSentAt, state.lastEventAt) < state.limits.leaseTime;
    });
}

} // namespace lhub
