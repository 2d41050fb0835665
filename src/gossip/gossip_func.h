/** @file gossip_func.h Membership of entry VMs by gossip. */
#pragma once

#include "gossip/gossip_type.h"
#include <string_view>
#include <vector>

namespace lhub {

/**
 * Merges claims. A claim made by its own VM replaces what is known even if its incarnation is lower, since the time
 * of day that incarnations come from may step back.
 * @param from VM that sent the message; empty for the store's list, which proves nobody alive.
 */
void mergeClaims(member_table& table, const std::vector<member_claim>& claims, std::string_view from, time_point now);

/** Whether @p member was heard of recently. Thread safe on const objects. */
bool isAlive(const member_table& table, const gossip_member& member, const gossip_limits& limits, time_point now);

/** Whether a zone lies in the region of this VM. Thread safe on a const object. */
bool isSameRegion(const member_table& table, const std::string& zone);

/** Members alive, the VM itself included. Thread safe on a const object. */
std::vector<const member_claim*> aliveMembers(const member_table& table, const gossip_limits& limits, time_point now);

/** The IPs to tell in this round; dead members are tried now and then, so that a healed cut is noticed. */
gossip_targets gossipTargets(member_table& table, const gossip_limits& limits, time_point now);

/** The claims of the next round. Not thread safe: turns through the members. */
gossip_messages claimsToSend(member_table& table, const gossip_limits& limits, time_point now);

/** A message as bytes, and back; malformed messages give no claims. Thread safe. */
std::string encodeClaims(const std::vector<member_claim>& claims);
std::vector<member_claim> decodeClaims(std::string_view message);

} // namespace lhub
