/** @file gossip_func.h Gossip membership of entry VMs. */
#pragma once

#include "gossip/gossip_type.h"
#include <optional>
#include <string_view>
#include <vector>

namespace lhub {

/**
 * Merges received member records into @p table; of two records of a member the one with the higher (incarnation, heartbeat) stays.
 * A record sent by its own VM is accepted with a lower incarnation too, since incarnations come from the time of day, which may
 * step back before a restart. Not thread safe.
 * @param from name of the VM that sent the message; empty for the member list in the store, which does not show that a member is alive.
 */
void mergeMemberRecords(member_table& table, const std::vector<member_record>& records, std::string_view from, time_point now);

/** Whether the newest heartbeat of @p member is recent enough; always true for this VM. Thread safe on const objects. */
bool isAlive(const member_table& table, const gossip_member& member, const gossip_settings& settings, time_point now);

/** Whether a zone lies in the region of this VM. Thread safe on a const object. */
bool isSameRegion(const member_table& table, const std::string& zone);

/** Region of a zone; a zone that is not configured counts as a region of its own. Valid until the table changes. Thread safe on a const object. */
const std::string& regionOf(const member_table& table, const std::string& zone);

/** Members that may be running: this VM, and those whose newest heartbeat is within gossip_settings::recentMemberPeriod. Ordered by
 *  name. The pointers are valid until the table changes. Thread safe on a const object. */
std::vector<const member_record*> recentMembers(const member_table& table, const gossip_settings& settings, time_point now);

/**
 * Changes of the other members of this VM's region since the last call. A VM that stops gracefully is seen as not serving before it is silent or
 * starts anew, unless its stop is shorter than a round or two; one that was killed while it served is not. Nothing while the view is not settled (view_trust). Not thread safe: records what it returns.
 */
std::vector<member_change> memberChanges(member_table& table, const gossip_settings& settings, time_point now);

/** Live members, including this VM. The pointers are valid until the table changes. Thread safe on a const object. */
std::vector<const member_record*> aliveMembers(const member_table& table, const gossip_settings& settings, time_point now);

/**
 * Assesses how far the view of this VM may be relied on. A limit that all VMs share is scaled with aliveRegionFraction, so that the sum of
 * the VMs' portions stays within the limit although their views differ: in a network partition all sides remember the same
 * members, and each side counts only its own live fraction of them. A VM that was paused remembers all members and sees none
 * of the others alive. Thread safe on const objects.
 */
view_trust trustOf(const member_table& table, const gossip_settings& settings, time_point now);

/** Chooses the IPs to send to in this round. Dead members are retried every few rounds, to detect the end of a partition. Not thread safe: counts the round. */
gossip_targets nextGossipTargets(member_table& table, const gossip_settings& settings, time_point now);

/** A member's record with its age at @p now, ready to be passed on. Precondition: the member is in the table. Thread safe on const objects. */
member_record recordWithAge(const member_table& table, const member_record& record, time_point now);

/** Builds the messages of the next round, increments the own heartbeat and detects a pause of the process. Not thread safe. */
gossip_messages nextGossipMessages(member_table& table, const gossip_settings& settings, time_point now);

/**
 * The immediate reply to a message whose sender was not known to be alive and therefore knows few members or none: the live
 * members of the sender's region. Nothing for other senders. Precondition: @p records, the received message, is not merged yet.
 * Thread safe on const objects.
 */
std::optional<std::vector<member_record>> replyToJoin(const member_table& table, const std::vector<member_record>& records, const gossip_settings& settings, time_point now);

/** Encodes a message. Thread safe. */
std::string encodeMemberRecords(const std::vector<member_record>& records);
/** Decodes a message; no records if any part of it is malformed. Thread safe. */
std::vector<member_record> decodeMemberRecords(std::string_view message);

} // namespace lhub
