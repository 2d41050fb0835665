/** @file gossip.cpp Gossip membership of entry VMs. */
#include "gossip/gossip_func.h"

#include "core/hash.h"
#include "core/json_fields.h"
#include <algorithm>

namespace lhub {

static constexpr std::size_t FixedCells = 9; ///< Cells of an encoded record before its revisions.
static constexpr std::uint64_t RetryDeadPeriod = 4; ///< Dead members are retried once in this many rounds, and in every round while fewer other members than the fanout are alive.

void mergeMemberRecords(member_table& table, const std::vector<member_record>& records, std::string_view from, time_point now)
{
    for (const auto& record : records) {
        if (record.vm == table.self || record.vm.empty())
            continue;
        auto [found, added] = table.members.try_emplace(record.vm, gossip_member { record, {} });
        auto& known = found->second;
        const bool sentByItself = record.vm == from;
        const bool newer = std::pair(record.incarnation, record.heartbeat) > std::pair(known.record.incarnation, known.record.heartbeat);
        const bool restarted = sentByItself && record.incarnation != known.record.incarnation;
        if (!added && !newer && !restarted)
            continue;
        known.record = record;
        if (!from.empty()) // The member list in the store does not show that a member is alive.
            known.heartbeatAt = now - record.age;
    }
}

const std::string& regionOf(const member_table& table, const std::string& zone)
{
    const auto found = table.regionOfZone.find(zone);
    return found == table.regionOfZone.end() ? zone : found->second;
}

bool isSameRegion(const member_table& table, const std::string& zone)
{
    return regionOf(table, zone) == regionOf(table, table.members.at(table.self).record.zone);
}

/** Whether the member is in another region than this VM. */
static bool isInOtherRegion(const member_table& table, const gossip_member& member) { return !isSameRegion(table, member.record.zone); }

bool isAlive(const member_table& table, const gossip_member& member, const gossip_settings& settings, time_point now)
{
    if (member.record.vm == table.self)
        return true;
    const auto timeout = isInOtherRegion(table, member) ? settings.otherRegionDeadAfter : settings.deadAfter;
    return member.heartbeatAt != time_point {} && now - member.heartbeatAt < timeout;
}

std::vector<const member_record*> aliveMembers(const member_table& table, const gossip_settings& settings, time_point now)
{
    std::vector<const member_record*> result;
    for (const auto& [name, member] : table.members) {
        if (isAlive(table, member, settings, now))
            result.push_back(&member.record);
    }
    return result;
}

/** Whether the member may be running. */
static bool isRecent(const member_table& table, const gossip_member& member, const gossip_settings& settings, time_point now)
{
    return member.record.vm == table.self || (member.heartbeatAt != time_point {} && now - member.heartbeatAt < settings.recentMemberPeriod);
}

std::vector<const member_record*> recentMembers(const member_table& table, const gossip_settings& settings, time_point now)
{
    std::vector<const member_record*> result;
    for (const auto& [name, member] : table.members) {
        if (isRecent(table, member, settings, now))
            result.push_back(&member.record);
    }
    return result;
}

view_trust trustOf(const member_table& table, const gossip_settings& settings, time_point now)
{
    view_trust trust;
    const bool paused = table.roundStartedAt != time_point {} && now - table.roundStartedAt > settings.pauseThreshold;
    trust.settled = !paused && now - table.viewResetAt >= settings.settleTime;
    std::size_t aliveInRegion = 0;
    std::size_t recentInRegion = 0;
    for (const auto& [name, member] : table.members) {
        if (!isRecent(table, member, settings, now))
            continue;
        ++trust.recentMembers;
        if (isInOtherRegion(table, member))
            continue;
        ++recentInRegion;
        aliveInRegion += isAlive(table, member, settings, now) ? 1 : 0;
    }
    trust.aliveRegionFraction = static_cast<double>(aliveInRegion) / static_cast<double>(std::max<std::size_t>(1, recentInRegion));
    return trust;
}

std::vector<member_change> memberChanges(member_table& table, const gossip_settings& settings, time_point now)
{
    std::vector<member_change> changes;
    if (!trustOf(table, settings, now).settled) // After a pause of this VM the others seem silent.
        return changes;
    for (auto& [name, member] : table.members) {
        const bool known = name != table.self && member.heartbeatAt != time_point {};
        if (!known || isInOtherRegion(table, member))
            continue;
        const auto state = member.record.serving ? member_status::Serving : member_status::NotServing;
        const member_change seen { name, member.record.incarnation, isAlive(table, member, settings, now) ? state : member_status::Silent };
        if (member.reported && member.reported->state == seen.state && member.reported->incarnation == seen.incarnation)
            continue;
        member.reported = seen;
        changes.push_back(seen);
    }
    return changes;
}

/** Members with their sort keys; the order is pseudo-random and differs between rounds and between VMs. */
using shuffled_members = std::vector<std::pair<std::uint64_t, const gossip_member*>>;

/** The other members, grouped by liveness and region. */
struct member_groups {
    shuffled_members sameRegion; ///< Alive, in the region of this VM.
    shuffled_members otherRegions; ///< Alive, in another region.
    shuffled_members dead; ///< Not alive, in any region.
};

/** Groups and shuffles all members except this VM; @p orderSeed differs between rounds. */
static member_groups groupMembers(const member_table& table, const gossip_settings& settings, std::uint64_t orderSeed, time_point now)
{
    member_groups groups;
    for (const auto& [name, member] : table.members) {
        if (name == table.self)
            continue;
        const bool alive = isAlive(table, member, settings, now);
        auto& group = !alive ? groups.dead : (isInOtherRegion(table, member) ? groups.otherRegions : groups.sameRegion);
        group.emplace_back(stableHash(name, stableHash(table.self, orderSeed)), &member);
    }
    for (auto* group : { &groups.sameRegion, &groups.otherRegions, &groups.dead })
        std::sort(group->begin(), group->end());
    return groups;
}

gossip_targets nextGossipTargets(member_table& table, const gossip_settings& settings, time_point now)
{
    ++table.round;
    const auto groups = groupMembers(table, settings, table.round, now);
    gossip_targets result;
    for (std::size_t i = 0; i < groups.sameRegion.size() && i < settings.fanout; ++i)
        result.sameRegion.push_back(groups.sameRegion[i].second->record.ip);
    const bool fewInRegion = groups.sameRegion.size() < settings.fanout;
    if (!groups.otherRegions.empty() && (fewInRegion || table.round % settings.otherRegionPeriod == 0))
        result.otherRegions.push_back(groups.otherRegions.front().second->record.ip);
    const bool retryDead = groups.sameRegion.size() + groups.otherRegions.size() < settings.fanout || table.round % RetryDeadPeriod == 0;
    for (std::size_t i = 0; retryDead && i < groups.dead.size() && i < settings.fanout; ++i)
        result.otherRegions.push_back(groups.dead[i].second->record.ip);
    return result;
}

/** Appends the records of the first @p maxAdded members of @p group; stops when the message has recordsPerMessage records. */
static void appendRecords(std::vector<member_record>& records, const member_table& table, const shuffled_members& group, std::size_t maxAdded, const gossip_settings& settings, time_point now)
{
    for (std::size_t i = 0; i < group.size() && i < maxAdded && records.size() < settings.recordsPerMessage; ++i) {
        records.push_back(recordWithAge(table, group[i].second->record, now));
    }
}

member_record recordWithAge(const member_table& table, const member_record& record, time_point now)
{
    auto result = record;
    result.age = record.vm == table.self ? milliseconds(0) : elapsed(table.members.at(record.vm).heartbeatAt, now);
    return result;
}

gossip_messages nextGossipMessages(member_table& table, const gossip_settings& settings, time_point now)
{
    auto& self = table.members[table.self].record;
    ++self.heartbeat;
    if (table.roundStartedAt != time_point {} && now - table.roundStartedAt > settings.pauseThreshold)
        table.viewResetAt = now;
    table.roundStartedAt = now;
    const auto groups = groupMembers(table, settings, self.heartbeat, now);
    gossip_messages messages { { self }, { self } };
    appendRecords(messages.sameRegion, table, groups.otherRegions, settings.maxCrossRegionRecords, settings, now);
    appendRecords(messages.sameRegion, table, groups.sameRegion, settings.recordsPerMessage, settings, now);
    appendRecords(messages.otherRegions, table, groups.sameRegion, settings.maxCrossRegionRecords, settings, now);
    appendRecords(messages.otherRegions, table, groups.otherRegions, settings.maxCrossRegionRecords, settings, now);
    return messages;
}

std::optional<std::vector<member_record>> replyToJoin(const member_table& table, const std::vector<member_record>& records, const gossip_settings& settings, time_point now)
{
    if (records.empty())
        return std::nullopt;
    const auto& sender = records.front();
    const auto known = table.members.find(sender.vm);
    if (known != table.members.end() && isAlive(table, known->second, settings, now))
        return std::nullopt;
    std::vector<member_record> reply { recordWithAge(table, table.members.at(table.self).record, now) };
    for (const auto* record : aliveMembers(table, settings, now)) {
        const bool wanted = record->vm != table.self && regionOf(table, record->zone) == regionOf(table, sender.zone);
        if (wanted && reply.size() < settings.recordsPerMessage)
            reply.push_back(recordWithAge(table, *record, now));
    }
    return reply;
}

std::string encodeMemberRecords(const std::vector<member_record>& records)
{
    json::array rows;
    for (const auto& record : records) {
        json::array row { record.vm, record.ip, record.zone, record.incarnation, record.heartbeat, record.serving, record.storeReachable, record.requestsPerSecond, record.age.count() };
        for (const auto revision : record.knownRevisions)
            row.emplace_back(revision);
        rows.push_back(std::move(row));
    }
    return json::serialize(rows);
}

std::vector<member_record> decodeMemberRecords(std::string_view message)
{
    boost::system::error_code error;
    const auto parsed = json::parse(json::string_view(message.data(), message.size()), error);
    if (error || !parsed.is_array())
        return {};
    std::vector<member_record> result;
    for (const auto& row : parsed.get_array()) {
        if (!row.is_array() || row.get_array().size() < FixedCells + WatchedKinds)
            return {};
        const auto& cells = row.get_array();
        if (!cells[0].is_string() || !cells[1].is_string() || !cells[2].is_string() || !cells[5].is_bool() || !cells[6].is_bool())
            return {};
        const auto incarnation = cells[3].to_number<std::uint64_t>(error);
        if (error)
            return {};
        const auto heartbeat = cells[4].to_number<std::uint64_t>(error);
        if (error)
            return {};
        const auto requestsPerSecond = cells[7].to_number<std::uint32_t>(error);
        if (error)
            return {};
        const auto age = cells[8].to_number<std::int64_t>(error);
        if (error)
            return {};
        member_record record { std::string(cells[0].get_string()), std::string(cells[1].get_string()),
            std::string(cells[2].get_string()), incarnation, heartbeat, cells[5].get_bool(), cells[6].get_bool(), requestsPerSecond, std::max(milliseconds(0), milliseconds(age)), {} };
        for (std::size_t kind = 0; kind < WatchedKinds; ++kind) {
            record.knownRevisions[kind] = cells[FixedCells + kind].to_number<std::uint64_t>(error);
            if (error)
                return {};
        }
        result.push_back(std::move(record));
    }
    return result;
}

} // namespace lhub
