/** @file gossip_type.h Membership of entry VMs by gossip. */
#pragma once

#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lhub {

/** Kinds of objects that VMs tell each other about. */
inline constexpr std::size_t RelayedKinds = 3;

/** Revision of the newest change of each kind that a VM has seen; 0 for none. */
using known_revisions = std::array<std::uint64_t, RelayedKinds>;

/** What a VM says of itself, as it travels. */
struct member_claim {
    std::string vm; ///< Identity.
    std::string ip; ///< Numeric IP; ports are the same on all VMs.
    std::string zone; ///< Where it stands.
    std::uint64_t incarnation = 0; ///< Differs between two starts; mostly rises.
    std::uint64_t beat = 0; ///< Rises with every round of its own.
    bool serving = false; ///< Callers may be sent to it.
    bool storeAnswers = true; ///< The store answers it, as far as it knows; false once it was lost.
    std::uint32_t carries = 1; ///< Requests a second that it can carry.
    milliseconds age { 0 }; ///< Time since it said so, over all VMs that passed it on.
    known_revisions known; ///< What it knows of the store.
};

/** A member as this VM knows it. */
struct gossip_member {
    member_claim claim; ///< The newest claim.
    time_point heard {}; ///< When it made its newest beat known here; the epoch when never.
};

/** All members that this VM knows, itself included. */
struct member_table {
    std::string self; ///< Own identity.
    std::map<std::string, gossip_member> members; ///< By identity.
    std::uint64_t round = 0; ///< Rounds so far; turns the choice of targets.
    time_point roundAt {}; ///< When the newest round began; the epoch before the first.
    time_point unsettledAt {}; ///< When the view last had to be built anew: at the start, and after a pause of the process.
    std::map<std::string, std::string> regionOfZone; ///< All zones; an unknown one is a region of its own.
};

/** IPs to tell in one round. */
struct gossip_targets {
    std::vector<std::string> near; ///< Of the own region.
    std::vector<std::string> far; ///< Of other regions, and members that may have come back.
};

/** Messages of one round; the own claim comes first. */
struct gossip_messages {
    std::vector<member_claim> near; ///< For the own region: all of it, and some of the others.
    std::vector<member_claim> far; ///< For other regions: some of the own region and some of the others.
};

/** How far this VM may rely on its view of the others. */
struct view_trust {
    bool settled = false; ///< It had time to build a view and was not paused since.
    double regionPart = 0; ///< Living part of the members of its region that were heard of within limits.memory, 0 to 1.
    std::size_t remembered = 0; ///< Members of all regions that were heard of within limits.memory, itself included.
};

/** Settings of gossip. */
struct gossip_limits {
    milliseconds interval { 500 }; ///< Between two rounds.
    std::uint32_t fanout = 3; ///< Members of the own region told in each round; a rumour reaches N members in log(N) rounds.
    std::uint32_t farEvery = 2; ///< Rounds between two messages to one member of another region: bytes between regions are dear.
    std::uint32_t claimsPerMessage = 128; ///< Claims in one message at most; about ten kilobytes.
    std::uint32_t farClaims = 8; ///< Claims of other regions among them; a message to another region has as many of the own one, and no more.
    milliseconds deadAfter { 4500 }; ///< Age of the newest beat at which a member counts as dead: nine rounds, for links that lose a fifth.
    milliseconds settleTime { 3000 }; ///< Time to build a view: six rounds. Until then it permits nothing.
    milliseconds pauseAfter { 1500 }; ///< Without a round for so long the process was paused: three rounds. Busy processes lose one.
    std::chrono::minutes memory { 120 }; ///< Members count as possibly at work for so long after they were last heard of: regions may lose each other for an hour.
    milliseconds farDeadAfter { 6500 }; ///< The same for members of other regions: their claims come a fifth as often. Look-ups may name the dead for 7 s.
};

} // namespace lhub
