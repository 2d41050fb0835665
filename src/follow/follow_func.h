/** @file follow_func.h Which VMs watch the store, and whom the others follow. */
#pragma once

#include "follow/follow_type.h"
#include "gossip/gossip_type.h"

namespace lhub {

/**
 * A few VMs of each region watch the store and the others follow them, so that calls to the store grow with regions and not
 * with VMs. The watchers are those that win a rendezvous by what they carry, among the living ones that the store answers.
 * VMs with different views may differ on who they are: then more VMs watch than need to. Where the store answers fewer than
 * are wanted, others are added in the same order, so that during an outage a few ask for all and the calls do not grow
 * with the VMs. Thread safe on const objects.
 */
follow_plan planFollow(const member_table& table, const gossip_limits& gossip, const follow_limits& limits, time_point now);

/**
 * Whether a change that others know has been missing for @p grace. Newer changes do not prolong the wait, and a change that
 * has come ends it, so that steady changes elsewhere make nobody ask. Not thread safe.
 * @param held newest revision held here. @param known newest revision that others know; 0 when nobody knows more.
 */
bool isLagging(follow_lag& lag, std::uint64_t held, std::uint64_t known, milliseconds grace, time_point now);

} // namespace lhub
