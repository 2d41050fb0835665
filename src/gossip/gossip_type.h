/** @file gossip_type.h Gossip membership of entry VMs. */
#pragma once

#include "core/name_table.h"
#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lhub {

/** Number of kinds of store objects that entry VMs exchange with each other. */
inline constexpr std::size_t WatchedKinds = 3;

/** For each kind, the store revision of the newest change that a VM has seen; 0 for none. */
using known_revisions = std::array<std::uint64_t, WatchedKinds>;

/** Record that a VM announces about itself; other VMs pass it on unchanged, except for the age. */
struct member_record {
    std::string vm; ///< Name of the VM.
    std::string ip; ///< Numeric IP; ports are the same on all VMs.
    std::string zone; ///< Its availability zone.
    std::uint64_t incarnation = 0; ///< Identifies one start of the process: Unix time of the start, in milliseconds, so that it rises unless the time of day steps back.
    std::uint64_t heartbeat = 0; ///< Heartbeat: incremented by the VM itself in each of its rounds.
    bool serving = false; ///< It accepts callers.
    bool storeReachable = true; ///< The VM can reach the store, as far as it is known; false for a while after a failed call.
    std::uint32_t requestsPerSecond = 1; ///< Its capacity.
    milliseconds age { 0 }; ///< Time since the VM made this announcement, summed over all VMs that passed it on.
    known_revisions knownRevisions; ///< Newest store revisions that it has seen.
};

/** What this VM sees of another member. */
enum class member_status {
    Serving, ///< It accepts callers.
    NotServing, ///< It says that it accepts none: it starts or stops.
    Silent, ///< It counts as dead.
};

/** Names of states in log lines. */
inline constexpr std::array<name_row<member_status>, 3> MemberStatusNames { {
    { member_status::Serving, "serving" },
    { member_status::NotServing, "not_serving" },
    { member_status::Silent, "silent" },
} };

/** The state or the incarnation of a member has changed. */
struct member_change {
    std::string vm; ///< Name of the VM.
    std::uint64_t incarnation = 0; ///< See member_record.
    member_status state = member_status::Serving;
};

/** Another member, or this VM itself, as this VM knows it. */
struct gossip_member {
    member_record record; ///< Its newest known record.
    time_point heartbeatAt {}; ///< When it announced the newest heartbeat received by gossip: arrival here minus age. The epoch if it is only known from the store.
    std::optional<member_change> reported {}; ///< What memberChanges() last returned of it.
};

/** All members that this VM knows, including itself. */
struct member_table {
    std::string self; ///< Name of this VM; always a key of members.
    std::map<std::string, gossip_member> members; ///< By VM name; entries are never removed.
    std::uint64_t round = 0; ///< Number of rounds so far; seeds the choice of targets.
    time_point roundStartedAt {}; ///< Start of the newest round; the epoch before the first.
    time_point viewResetAt {}; ///< When this VM last began to build its view: at its start, or at the first round after a pause of the process.
    std::map<std::string, std::string> regionOfZone; ///< Region of every configured zone; any other zone counts as a region of its own.
};

/** IPs to send to in one round. */
struct gossip_targets {
    std::vector<std::string> sameRegion; ///< Live members of this VM's region.
    std::vector<std::string> otherRegions; ///< Live members of other regions, and dead members of any region that are retried.
};

/** Messages of one round; each begins with the sender's own record. */
struct gossip_messages {
    std::vector<member_record> sameRegion; ///< For gossip_targets::sameRegion: the whole region as far as it fits, and a sample of the other regions.
    std::vector<member_record> otherRegions; ///< For gossip_targets::otherRegions: a sample of the sender's region and a sample of the others.
};

/** How far this VM may rely on its view of the other members. */
struct view_trust {
    bool settled = false; ///< At least settleTime has passed since the view was last begun anew, and the process is not paused.
    double aliveRegionFraction = 0; ///< Live fraction, 0 to 1, of the members of this region whose newest heartbeat is within recentMemberPeriod.
    std::size_t recentMembers = 0; ///< Number of members of all regions whose newest heartbeat is within recentMemberPeriod, including this VM.
};

/** Settings of gossip. */
struct gossip_settings {
    milliseconds interval { 500 }; ///< Time between two rounds.
    std::uint32_t fanout = 3; ///< Members of the own region addressed in each round; a change reaches N members in about log(N) rounds.
    std::uint32_t otherRegionPeriod = 2; ///< Rounds from one message to another region to the next: traffic between regions is expensive.
    std::uint32_t recordsPerMessage = 128; ///< Maximum number of member records in one message; about 10 KB.
    std::uint32_t maxCrossRegionRecords = 8; ///< Maximum number of records of other regions in a message, and of own-region records in a message to another region.
    milliseconds deadAfter { 4500 }; ///< A member of the own region counts as dead when its newest heartbeat is this old: nine rounds, so that links may lose 20% of the messages.
    milliseconds settleTime { 3000 }; ///< Time to build a view: six rounds. Until then the view grants no permissions.
    milliseconds pauseThreshold { 1500 }; ///< If no round began for this long, three rounds, the process was paused. A busy process may miss one round.
    std::chrono::minutes recentMemberPeriod { 120 }; ///< A member whose newest heartbeat is not older than this may still be running: regions may lose contact with each other for an hour.
    milliseconds otherRegionDeadAfter { 6500 }; ///< deadAfter for members of other regions, whose records arrive a fifth as often. Below the 7 s for which look-ups may still name a dead VM.
};

} // namespace lhub
