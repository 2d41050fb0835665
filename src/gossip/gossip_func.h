/** @file gossip_func.h Membership of entry VMs by gossip. */
#pragma once

#include "gossip/gossip_type.h"
#include <optional>
#include <string_view>
#include <vector>

namespace lhub {

/**
 * Merges claims. A claim made by its own VM replaces what is known even if its incarnation is lower, since the time
 * of day that incarnations come from may step back.
 * @param from VM that sent the message; empty for the store's list, which proves nobody alive.
 */
void mergeClaims(member_table& table, const std::vector<member_claim>& claims, std::string_view from, time_point now);

/** Whether the newest beat of @p member is recent. Thread safe on const objects. */
bool isAlive(const member_table& table, const gossip_member& member, const gossip_limits& limits, time_point now);

/** Whether a zone lies in the region of this VM. Thread safe on a const object. */
bool isSameRegion(const member_table& table, const std::string& zone);

/** Members alive, the VM itself included. Thread safe on a const object. */
std::vector<const member_claim*> aliveMembers(const member_table& table, const gossip_limits& limits, time_point now);

/**
 * What a permission that is shared by construction must be scaled with, so that the sum over VMs with different views stays
 * within it: VMs that are cut into groups know the same members, and each group has the living part of them. A VM that was paused
 * remembers everybody and sees nobody alive. Thread safe on const objects.
 */
view_trust trustOf(const member_table& table, const gossip_limits& limits, time_point now);

/** The IPs to tell in this round; dead members are tried now and then, so that a healed cut is noticed. */
gossip_targets gossipTargets(member_table& table, const gossip_limits& limits, time_point now);

/** A claim as it is passed on at @p now, with its age. Precondition: the member is in the table. Thread safe on const objects. */
member_claim claimNow(const member_table& table, const member_claim& claim, time_point now);

/** The claims of the next round; notices a pause of the process. Not thread safe: turns through the members. */
gossip_messages claimsToSend(member_table& table, const gossip_limits& limits, time_point now);

/**
 * What to tell the sender of @p claims at once: everybody of its region, if it was not known to be alive before. It knows few
 * members, or none. Call it before the claims are merged. Thread safe on const objects.
 */
std::optional<std::vector<member_claim>> replyToJoin(const member_table& table, const std::vector<member_claim>& claims, const gossip_limits& limits, time_point now);

/** A message as bytes, and back; malformed messages give no claims. Thread safe. */
std::string encodeClaims(const std::vector<member_claim>& claims);
std::vector<member_claim> decodeClaims(std::string_view message);

} // namespace lhub
