/** @file member_func.h Membership of a zone: who is alive, and whether an owner may still admit. */
#pragma once

#include "member/member_type.h"
#include <vector>

namespace lhub {

/**
 * Takes note of the time of an event.
 * @return true when the process was paused for longer than the limit since the last event: every lease counts as
 * lapsed.
 */
bool advanceTime(member_state& state, time_point now);

/** Adds a peer that the configuration or a heartbeat names. A known one keeps its state; a moved one starts anew. */
void addPeer(member_state& state, const std::string& vm, const std::string& address, time_point now);

/** Takes out dead peers that are not in @p vms: they were deregistered. A living one may still own a pool and stays. */
void keepPeers(member_state& state, const std::vector<std::string>& vms);

/** A message of a peer arrived at @p now. An older incarnation than the known one is ignored. */
void heardFrom(member_state& state, const peer_state& said, time_point now);

/** A peer answered the heartbeat that was sent at @p sentAt. */
void acknowledgedBy(member_state& state, const std::string& vm, time_point sentAt);

/** A peer's address refused a connection: that incarnation is dead. */
void refusedBy(member_state& state, const std::string& vm);

/** Whether the peer counts as alive. */
bool isAlive(const member_state& state, const peer_state& peer);

/**
 * Whether this VM may admit to the pools that it owns: every peer that could take them over has acknowledged a
 * heartbeat within the lease, or is dead.
 */
bool mayAdmit(const member_state& state);

/** The VM that should own the pool of @p service: rendezvous over the VMs that are alive and not leaving. */
std::string preferredOwner(const member_state& state, const std::string& service);

/** The living peer that says it owns the pool of @p service, with the highest epoch; null when none does. */
const peer_state* announcedOwner(const member_state& state, const std::string& service);

/** Highest epoch heard of for @p service. */
std::uint64_t highestEpoch(const member_state& state, const std::string& service);

/** Peers that have been silent for so long that they should be deregistered. */
std::vector<std::string> longGone(const member_state& state);

/** Whether every peer is dead or has just answered: then what they announce is the whole truth. */
bool knowsAllPeers(const member_state& state);

} // namespace lhub
