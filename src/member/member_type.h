/** @file member_type.h What an entry VM knows of the other entry VMs of its zone. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>

namespace lhub {

/** Intervals of the membership; the same on all VMs of a zone. */
struct member_limits {
    milliseconds heartbeatInterval { 200 }; ///< Time between two heartbeats to one peer.
    milliseconds leaseTime { 900 }; ///< An owner may admit for this long after it sent its last acknowledged heartbeat.
    milliseconds deadAfter { 1500 }; ///< A silent peer counts as dead after this. Exceeds leaseTime by the clocks' error.
    milliseconds deregisterAfter { 10'000 }; ///< A dead peer that has been silent for this long should be deregistered.
    milliseconds pauseAfter { 600 }; ///< A longer gap between two events means that the process was paused: leases expire.
};

/** One other entry VM of the zone. */
struct peer_state {
    std::string vm; ///< Name of the VM.
    std::string address; ///< IP:port for gRPC between entry VMs.
    std::uint64_t incarnation = 0; ///< Number of the peer's present start; 0 until it was heard from.
    time_point heardAt {}; ///< When its last message arrived; when it was added, until then.
    time_point acknowledgedSentAt {}; ///< When the last heartbeat that it acknowledged was sent; as heardAt until then.
    bool hasAnswered = false; ///< Whether it has ever answered a heartbeat of this VM.
    bool confirmedDead = false; ///< Its address refused a connection and it has not been heard from since.
    bool leaving = false; ///< It is stopping and takes over no pools.
    std::map<std::string, std::uint64_t> owned; ///< Epochs of the pools that it says it owns, by service.
};

/** The membership of one zone, as one VM sees it. */
struct member_state {
    std::string self; ///< Name of this VM.
    std::uint64_t incarnation = 0; ///< Number of this VM's present start.
    bool leaving = false; ///< This VM is stopping or drained.
    time_point lastEventAt {}; ///< Time of the last event; the default value before the first.
    time_point admitNotBefore {}; ///< This VM may not admit before this; set after a pause of the process.
    std::map<std::string, peer_state> peers; ///< By name of the VM.
    member_limits limits; ///< Intervals.
};

} // namespace lhub
