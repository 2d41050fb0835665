/** @file store_follow_func.h Which entry VMs of a region watch the store, and which of them the other VMs follow. */
#pragma once

#include "gossip/gossip_type.h"
#include "store_follow/store_follow_type.h"

namespace lhub {

/**
 * Chooses the role of this VM. In each region a few VMs watch the store and the others follow them, so that the number of calls
 * to the store grows with the number of regions, not of VMs. The watchers are the best ranked live VMs in a rendezvous hash
 * weighted by capacity; VMs that can reach the store come first. If fewer than follow_settings::watchers VMs reach the store, the
 * best ranked of the others are added, so that during an outage only a few VMs go on asking. VMs whose views of the members
 * differ may choose differently: then more VMs watch than necessary. Thread safe on const objects.
 */
follow_plan planFollow(const member_table& table, const gossip_settings& gossipSettings, const follow_settings& settings, time_point now);

/**
 * How long a watch may take. A store that fails for a moment may never answer the calls that it received meanwhile, and such a watch
 * looks like one without changes until its time-out. Changes made during or after the failure must be in force once the guarantees hold
 * again; both times together are short enough for that. Thread safe.
 * @param stabilityTime time without a disturbance after which the guarantees hold again.
 * @param storeLost whether the last call to the store failed.
 */
watch_times planWatch(milliseconds stabilityTime, bool storeLost);

/**
 * Whether a change that other VMs have has been missing here for at least @p grace. Newer changes do not restart the time, and it
 * ends when the change arrives, so that a steady stream of changes that arrive in time never counts as lag. Not thread safe.
 * @param lag state between calls, for one kind of objects.
 * @param held newest store revision held here.
 * @param known newest store revision that other VMs hold; 0 when none holds a newer one.
 */
bool isLagging(follow_lag& lag, std::uint64_t held, std::uint64_t known, milliseconds grace, time_point now);

} // namespace lhub
