/** @file gossip.cpp Membership of entry VMs by gossip. */
#include "gossip/gossip_func.h"

#include "core/hash.h"
#include "core/json_fields.h"
#include <algorithm>

namespace lhub {

static constexpr std::size_t FixedCells = 6; ///< Cells of a row before the revisions.
static constexpr std::uint64_t RetryDeadEvery = 4; ///< Rounds between two messages to a dead member.

void mergeClaims(member_table& table, const std::vector<member_claim>& claims, std::string_view from, time_point now)
{
    for (const auto& claim : claims) {
        if (claim.vm == table.self || claim.vm.empty())
            continue;
        auto [found, added] = table.members.try_emplace(claim.vm, gossip_member { claim, {} });
        auto& known = found->second;
        const bool own = claim.vm == from;
        const bool newer = std::pair(claim.incarnation, claim.beat) > std::pair(known.claim.incarnation, known.claim.beat);
        const bool restarted = own && claim.incarnation != known.claim.incarnation;
        if (!added && !newer && !restarted)
            continue;
        known.claim = claim;
        if (!from.empty())
            known.heard = now;
    }
}

bool isAlive(const member_table& table, const gossip_member& member, const gossip_limits& limits, time_point now)
{
    if (member.claim.vm == table.self)
        return true;
    return member.heard != time_point {} && now - member.heard < limits.deadAfter;
}

std::vector<const member_claim*> aliveMembers(const member_table& table, const gossip_limits& limits, time_point now)
{
    std::vector<const member_claim*> result;
    for (const auto& [name, member] : table.members) {
        if (isAlive(table, member, limits, now))
            result.push_back(&member.claim);
    }
    return result;
}

std::vector<std::string> gossipTargets(member_table& table, const gossip_limits& limits, time_point now)
{
    ++table.round;
    std::vector<std::pair<std::uint64_t, const member_claim*>> alive;
    std::vector<std::pair<std::uint64_t, const member_claim*>> dead;
    for (const auto& [name, member] : table.members) {
        if (name == table.self)
            continue;
        const auto draw = stableHash(name, stableHash(table.self, table.round));
        (isAlive(table, member, limits, now) ? alive : dead).emplace_back(draw, &member.claim);
    }
    std::sort(alive.begin(), alive.end());
    std::sort(dead.begin(), dead.end());
    std::vector<std::string> result;
    for (std::size_t i = 0; i < alive.size() && i < limits.fanout; ++i)
        result.push_back(alive[i].second->ip);
    const bool retryDead = alive.size() < limits.fanout || table.round % RetryDeadEvery == 0;
    for (std::size_t i = 0; retryDead && i < dead.size() && i < limits.fanout; ++i)
        result.push_back(dead[i].second->ip);
    return result;
}

std::vector<member_claim> claimsToSend(member_table& table, const gossip_limits& limits, time_point now)
{
    std::vector<member_claim> result;
    auto& self = table.members[table.self].claim;
    ++self.beat;
    result.push_back(self);
    std::vector<std::pair<std::uint64_t, const member_claim*>> others;
    for (const auto& [name, member] : table.members) {
        if (name != table.self && isAlive(table, member, limits, now))
            others.emplace_back(stableHash(name, self.beat), &member.claim);
    }
    std::sort(others.begin(), others.end());
    for (std::size_t i = 0; i < others.size() && result.size() < limits.claimsPerMessage; ++i)
        result.push_back(*others[i].second);
    return result;
}

std::string encodeClaims(const std::vector<member_claim>& claims)
{
    json::array rows;
    for (const auto& claim : claims) {
        json::array row { claim.vm, claim.ip, claim.zone, claim.incarnation, claim.beat, claim.serving };
        for (const auto revision : claim.known)
            row.emplace_back(revision);
        rows.push_back(std::move(row));
    }
    return json::serialize(rows);
}

std::vector<member_claim> decodeClaims(std::string_view message)
{
    boost::system::error_code error;
    const auto parsed = json::parse(json::string_view(message.data(), message.size()), error);
    if (error || !parsed.is_array())
        return {};
    std::vector<member_claim> result;
    for (const auto& row : parsed.get_array()) {
        if (!row.is_array() || row.get_array().size() < FixedCells + RelayedKinds)
            return {};
        const auto& cells = row.get_array();
        if (!cells[0].is_string() || !cells[1].is_string() || !cells[2].is_string() || !cells[5].is_bool())
            return {};
        const auto incarnation = cells[3].to_number<std::uint64_t>(error);
        if (error)
            return {};
        const auto beat = cells[4].to_number<std::uint64_t>(error);
        if (error)
            return {};
        member_claim claim { std::string(cells[0].get_string()), std::string(cells[1].get_string()),
            std::string(cells[2].get_string()), incarnation, beat, cells[5].get_bool(), {} };
        for (std::size_t kind = 0; kind < RelayedKinds; ++kind) {
            claim.known[kind] = cells[FixedCells + kind].to_number<std::uint64_t>(error);
            if (error)
                return {};
        }
        result.push_back(std::move(claim));
    }
    return result;
}

std::vector<std::string> membersFor(const member_table& table, std::string_view region, const std::vector<std::string>& homes,
    const std::map<std::string, std::string>& regionOfZone, const gossip_limits& limits, time_point now)
{
    std::vector<std::string> local;
    std::vector<std::string> atHome;
    std::vector<std::string> all;
    for (const auto* member : aliveMembers(table, limits, now)) {
        if (!member->serving)
            continue;
        const auto zone = regionOfZone.find(member->zone);
        const std::string_view where = zone == regionOfZone.end() ? std::string_view() : zone->second;
        all.push_back(member->ip);
        if (where == region)
            local.push_back(member->ip);
        if (std::find(homes.begin(), homes.end(), where) != homes.end())
            atHome.push_back(member->ip);
    }
    if (!local.empty())
        return local;
    return atHome.empty() ? all : atHome;
}

} // namespace lhub
