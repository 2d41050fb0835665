/** @file member_type.h What an entry VM knows of the other entry VMs of its zone. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>

namespace lhub {

/** Bounds of the membership; the same on all VMs of a zone. */
struct member_limits {
    milliseconds heartbeatEvery { 200 }; ///< Time between two heartbeats to one peer.
    milliseconds leaseTime { 900 }; ///< An owner admits this long after the sending of its last acknowledged heartbeat.
    milliseconds suspectAfter { 1500 }; ///< A silent peer counts as dead after this. Exceeds leaseTime by the clocks' error.
    milliseconds removeAfter { 10'000 }; ///< A peer silent for this long should be deregistered.
    milliseconds longestGap { 600 }; ///< A gap between two events above this is a pause: leases count as lapsed.
};

/** One other entry VM of the zone. */
struct peer_state {
    std::string vm; ///< Its name.
    std::string address; ///< Where it serves peers.
    std::uint64_t incarnation = 0; ///< Its start; 0 until heard.
    time_point heard {}; ///< When a message of it last arrived.
    time_point acknowledged {}; ///< When we sent the last heartbeat that it answered.
    bool answered = false; ///< Whether it ever answered a heartbeat of ours.
    bool gone = false; ///< Proved dead: its address refuses connections.
    bool leaving = false; ///< It is stopping and owns nothing new.
    std::map<std::string, std::uint64_t> owned; ///< Services whose pool it says it owns, with the epoch.
};

/** The membership of one zone, as one VM sees it. */
struct member_state {
    std::string self; ///< This VM.
    std::uint64_t incarnation = 0; ///< This start.
    bool leaving = false; ///< This VM is stopping.
    time_point present {}; ///< Time of the last event.
    time_point admitFrom {}; ///< No admission before this: after the start or a pause.
    std::map<std::string, peer_state> peers; ///< By VM name.
    member_limits limits; ///< Bounds.
};

} // namespace lhub
