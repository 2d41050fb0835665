/** @file member_func.h Membership of a zone: which VMs are alive, and whether an owner may still admit. */
#pragma once

#include "member/member_type.h"
#include <vector>

namespace lhub {

/**
 * Records the time of an event.
 * @return true when the gap since the last event shows that the process was paused: every lease has expired.
 */
bool recordEventTime(member_state& state, time_point now);

/**
 * Adds a peer that the configuration or a heartbeat names. A known one keeps its state, unless its address changed.
 * @param address empty when it is not known; this does not change a known peer.
 */
void addPeer(member_state& state, const std::string& vm, const std::string& address, time_point now);

/** Removes dead peers that are not in @p registered. A living one stays, since it may still own a pool. */
void removeUnregisteredPeers(member_state& state, const std::vector<std::string>& registered);

/**
 * Records a message that arrived from a peer at @p now. A message of an unknown peer, or of an earlier incarnation than
 * the known one, is ignored.
 * @param report what the peer says of itself.
 */
void recordMessage(member_state& state, const peer_state& report, time_point now);

/** Records that a peer answered the heartbeat that was sent at @p sentAt. */
void recordAcknowledgement(member_state& state, const std::string& vm, time_point sentAt);

/** Records that a peer's address refused a connection: the peer is dead until it is heard from again. */
void recordConnectionRefused(member_state& state, const std::string& vm);

/** Whether the peer counts as alive: not confirmed dead, and heard from within deadAfter. */
bool isAlive(const member_state& state, const peer_state& peer);

/**
 * Whether this VM may grant slots of the pools that it owns: every peer that could take them over has acknowledged a
 * heartbeat within the lease, or is dead. False for a while after a pause of the process.
 */
bool mayAdmit(const member_state& state);

/** The VM that should own the pool of @p service: first by rendezvous hashing of the VMs that are alive and not leaving. */
std::string preferredOwner(const member_state& state, const std::string& service);

/** The living peer that says it owns the pool of @p service, with the highest epoch; null when none does. */
const peer_state* announcedOwner(const member_state& state, const std::string& service);

/** The highest epoch of the pool of @p service that any peer has announced; 0 when none has. */
std::uint64_t highestEpoch(const member_state& state, const std::string& service);

/** Dead peers that have been silent for so long that they should be deregistered. */
std::vector<std::string> peersToDeregister(const member_state& state);

/** Whether every living peer has acknowledged a heartbeat within the lease: then all owners are known. */
bool allLivePeersAnswered(const member_state& state);

} // namespace lhub
