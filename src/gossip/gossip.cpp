/** @file gossip.cpp Membership of entry VMs by gossip. */
#include "gossip/gossip_func.h"

#include "core/hash.h"
#include "core/json_fields.h"
#include <algorithm>

namespace lhub {

static constexpr std::size_t FixedCells = 9; ///< Cells of a row before the revisions.
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
            known.heard = now - claim.age;
    }
}

/** Region of a zone; a zone that is in none stands for itself. */
static const std::string& regionOf(const member_table& table, const std::string& zone)
{
    const auto found = table.regionOfZone.find(zone);
    return found == table.regionOfZone.end() ? zone : found->second;
}

bool isSameRegion(const member_table& table, const std::string& zone)
{
    return regionOf(table, zone) == regionOf(table, table.members.at(table.self).claim.zone);
}

/** Whether the member stands in another region than this VM. */
static bool isFar(const member_table& table, const gossip_member& member) { return !isSameRegion(table, member.claim.zone); }

bool isAlive(const member_table& table, const gossip_member& member, const gossip_limits& limits, time_point now)
{
    if (member.claim.vm == table.self)
        return true;
    const auto bound = isFar(table, member) ? limits.farDeadAfter : limits.deadAfter;
    return member.heard != time_point {} && now - member.heard < bound;
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

view_trust trustOf(const member_table& table, const gossip_limits& limits, time_point now)
{
    view_trust trust;
    const bool paused = table.roundAt != time_point {} && now - table.roundAt > limits.pauseAfter;
    trust.settled = !paused && now - table.unsettledAt >= limits.settleTime;
    std::size_t alive = 0;
    std::size_t known = 0;
    for (const auto& [name, member] : table.members) {
        const bool recent = name == table.self || (member.heard != time_point {} && now - member.heard < limits.memory);
        if (!recent)
            continue;
        ++trust.remembered;
        if (isFar(table, member))
            continue;
        ++known;
        alive += isAlive(table, member, limits, now) ? 1 : 0;
    }
    trust.regionPart = static_cast<double>(alive) / static_cast<double>(std::max<std::size_t>(1, known));
    return trust;
}

/** Members in an order that differs from round to round and from VM to VM. */
using member_draws = std::vector<std::pair<std::uint64_t, const gossip_member*>>;

/** Sorts the members into alive ones of the own region, alive ones of others, and dead ones. */
struct drawn_members {
    member_draws near; ///< Alive, of the own region.
    member_draws far; ///< Alive, of another region.
    member_draws dead; ///< Not heard of.
};

static drawn_members drawMembers(const member_table& table, const gossip_limits& limits, std::uint64_t turn, time_point now)
{
    drawn_members drawn;
    for (const auto& [name, member] : table.members) {
        if (name == table.self)
            continue;
        const bool alive = isAlive(table, member, limits, now);
        auto& list = !alive ? drawn.dead : (isFar(table, member) ? drawn.far : drawn.near);
        list.emplace_back(stableHash(name, stableHash(table.self, turn)), &member);
    }
    for (auto* list : { &drawn.near, &drawn.far, &drawn.dead })
        std::sort(list->begin(), list->end());
    return drawn;
}

gossip_targets gossipTargets(member_table& table, const gossip_limits& limits, time_point now)
{
    ++table.round;
    const auto drawn = drawMembers(table, limits, table.round, now);
    gossip_targets result;
    for (std::size_t i = 0; i < drawn.near.size() && i < limits.fanout; ++i)
        result.near.push_back(drawn.near[i].second->claim.ip);
    const bool lonely = drawn.near.size() < limits.fanout;
    if (!drawn.far.empty() && (lonely || table.round % limits.farEvery == 0))
        result.far.push_back(drawn.far.front().second->claim.ip);
    const bool retryDead = drawn.near.size() + drawn.far.size() < limits.fanout || table.round % RetryDeadEvery == 0;
    for (std::size_t i = 0; retryDead && i < drawn.dead.size() && i < limits.fanout; ++i)
        result.far.push_back(drawn.dead[i].second->claim.ip);
    return result;
}

/** Appends up to @p most of the claims, never more than fit into a message. */
static void appendClaims(std::vector<member_claim>& claims, const member_table& table, const member_draws& from, std::size_t most, const gossip_limits& limits, time_point now)
{
    for (std::size_t i = 0; i < from.size() && i < most && claims.size() < limits.claimsPerMessage; ++i) {
        claims.push_back(claimNow(table, from[i].second->claim, now));
    }
}

member_claim claimNow(const member_table& table, const member_claim& claim, time_point now)
{
    auto result = claim;
    result.age = claim.vm == table.self ? milliseconds(0) : elapsed(table.members.at(claim.vm).heard, now);
    return result;
}

gossip_messages claimsToSend(member_table& table, const gossip_limits& limits, time_point now)
{
    auto& self = table.members[table.self].claim;
    ++self.beat;
    if (table.roundAt != time_point {} && now - table.roundAt > limits.pauseAfter)
        table.unsettledAt = now;
    table.roundAt = now;
    const auto drawn = drawMembers(table, limits, self.beat, now);
    gossip_messages messages { { self }, { self } };
    appendClaims(messages.near, table, drawn.far, limits.farClaims, limits, now);
    appendClaims(messages.near, table, drawn.near, limits.claimsPerMessage, limits, now);
    appendClaims(messages.far, table, drawn.near, limits.farClaims, limits, now);
    appendClaims(messages.far, table, drawn.far, limits.farClaims, limits, now);
    return messages;
}

std::optional<std::vector<member_claim>> replyToJoin(const member_table& table, const std::vector<member_claim>& claims, const gossip_limits& limits, time_point now)
{
    if (claims.empty())
        return std::nullopt;
    const auto& joins = claims.front();
    const auto known = table.members.find(joins.vm);
    if (known != table.members.end() && isAlive(table, known->second, limits, now))
        return std::nullopt;
    std::vector<member_claim> reply { claimNow(table, table.members.at(table.self).claim, now) };
    for (const auto* claim : aliveMembers(table, limits, now)) {
        const bool wanted = claim->vm != table.self && regionOf(table, claim->zone) == regionOf(table, joins.zone);
        if (wanted && reply.size() < limits.claimsPerMessage)
            reply.push_back(claimNow(table, *claim, now));
    }
    return reply;
}

std::string encodeClaims(const std::vector<member_claim>& claims)
{
    json::array rows;
    for (const auto& claim : claims) {
        json::array row { claim.vm, claim.ip, claim.zone, claim.incarnation, claim.beat, claim.serving, claim.storeAnswers, claim.carries, claim.age.count() };
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
        if (!cells[0].is_string() || !cells[1].is_string() || !cells[2].is_string() || !cells[5].is_bool() || !cells[6].is_bool())
            return {};
        const auto incarnation = cells[3].to_number<std::uint64_t>(error);
        if (error)
            return {};
        const auto beat = cells[4].to_number<std::uint64_t>(error);
        if (error)
            return {};
        const auto carries = cells[7].to_number<std::uint32_t>(error);
        if (error)
            return {};
        const auto age = cells[8].to_number<std::int64_t>(error);
        if (error)
            return {};
        member_claim claim { std::string(cells[0].get_string()), std::string(cells[1].get_string()),
            std::string(cells[2].get_string()), incarnation, beat, cells[5].get_bool(), cells[6].get_bool(), carries, std::max(milliseconds(0), milliseconds(age)), {} };
        for (std::size_t kind = 0; kind < RelayedKinds; ++kind) {
            claim.known[kind] = cells[FixedCells + kind].to_number<std::uint64_t>(error);
            if (error)
                return {};
        }
        result.push_back(std::move(claim));
    }
    return result;
}

} // namespace lhub
