/** @file member.cpp Membership of a zone by heartbeats between its entry VMs. */
#include "member/member_func.h"

#include "core/hash.h"
#include <algorithm>

namespace lhub {

bool advanceTime(member_state& state, time_point now)
{
    const bool first = state.present == time_point {};
    const auto gap = elapsed(state.present, now);
    state.present = std::max(state.present, now);
    if (first || gap <= state.limits.longestGap)
        return false;
    state.admitFrom = now + state.limits.suspectAfter;
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
    peer.heard = now;
    peer.acknowledged = now;
}

void keepPeers(member_state& state, const std::vector<std::string>& vms)
{
    std::erase_if(state.peers, [&](const auto& item) {
        const bool registered = std::find(vms.begin(), vms.end(), item.first) != vms.end();
        return !registered && !isAlive(state, item.second);
    });
}

void heardFrom(member_state& state, const peer_state& said, time_point now)
{
    const auto found = state.peers.find(said.vm);
    if (found == state.peers.end())
        return;
    auto& peer = found->second;
    if (said.incarnation < peer.incarnation)
        return;
    peer.gone = false;
    peer.incarnation = said.incarnation;
    peer.leaving = said.leaving;
    peer.owned = said.owned;
    peer.heard = std::max(peer.heard, now);
}

void acknowledgedBy(member_state& state, const std::string& vm, time_point sentAt)
{
    const auto found = state.peers.find(vm);
    if (found == state.peers.end())
        return;
    found->second.answered = true;
    found->second.acknowledged = std::max(found->second.acknowledged, sentAt);
}

void refusedBy(member_state& state, const std::string& vm)
{
    const auto found = state.peers.find(vm);
    if (found == state.peers.end())
        return;
    found->second.gone = true;
    found->second.owned.clear();
}

bool isAlive(const member_state& state, const peer_state& peer)
{
    return !peer.gone && elapsed(peer.heard, state.present) < state.limits.suspectAfter;
}

bool mayAdmit(const member_state& state)
{
    if (state.present < state.admitFrom)
        return false;
    return std::all_of(state.peers.begin(), state.peers.end(), [&](const auto& item) {
        const auto& peer = item.second;
        return !isAlive(state, peer) || elapsed(peer.acknowledged, state.present) < state.limits.leaseTime;
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
        const auto claim = peer.owned.find(service);
        if (claim == peer.owned.end() || !isAlive(state, peer))
            continue;
        if (best && claim->second <= bestEpoch)
            continue;
        best = &peer;
        bestEpoch = claim->second;
    }
    return best;
}

std::uint64_t highestEpoch(const member_state& state, const std::string& service)
{
    std::uint64_t highest = 0;
    for (const auto& [vm, peer] : state.peers) {
        const auto claim = peer.owned.find(service);
        if (claim != peer.owned.end())
            highest = std::max(highest, claim->second);
    }
    return highest;
}

std::vector<std::string> longGone(const member_state& state)
{
    std::vector<std::string> names;
    for (const auto& [vm, peer] : state.peers) {
        if (!isAlive(state, peer) && elapsed(peer.heard, state.present) >= state.limits.removeAfter)
            names.push_back(vm);
    }
    return names;
}

bool knowsAllPeers(const member_state& state)
{
    return std::all_of(state.peers.begin(), state.peers.end(), [&](const auto& item) {
        const auto& peer = item.second;
        if (!isAlive(state, peer))
            return true;
        return peer.answered && elapsed(peer.acknowledged, state.present) < state.limits.leaseTime;
    });
}

} // namespace lhub
