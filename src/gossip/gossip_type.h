/** @file gossip_type.h Membership of entry VMs by gossip. */
#pragma once

#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <map>
#include <string>

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
    known_revisions known; ///< What it knows of the store.
};

/** A member as this VM knows it. */
struct gossip_member {
    member_claim claim; ///< The newest claim.
    time_point heard {}; ///< When its beat last rose here; the epoch when never.
};

/** All members that this VM knows, itself included. */
struct member_table {
    std::string self; ///< Own identity.
    std::map<std::string, gossip_member> members; ///< By identity.
    std::uint64_t round = 0; ///< Rounds so far; turns the choice of targets.
};

/** Settings of gossip. */
struct gossip_limits {
    milliseconds interval { 500 }; ///< Between two rounds.
    std::uint32_t fanout = 3; ///< Members told in each round; a rumour reaches N members in log(N) rounds.
    std::uint32_t claimsPerMessage = 40; ///< Claims in one message; keeps it within a few kilobytes.
    milliseconds deadAfter { 3500 }; ///< Silence after which a member counts as dead: seven rounds, for links that lose a fifth.
};

} // namespace lhub
