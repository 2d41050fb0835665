/** @file gate_limit.cpp Quotas of this VM at endpoints that name a limit on the requests of all VMs. */
#include "gate/gate_internal.h"

#include "core/hash.h"
#include "gossip/gossip_func.h"
#include "limit/limit_func.h"
#include "placement/placement_func.h"
#include "self_report/self_report_func.h"
#include <algorithm>

namespace lhub {

/** How long the shares of a service are cached; they change with the members and with the slots of the regions. */
static constexpr milliseconds ShareCacheTime { 1000 };

/** The share of this VM in the capacity of each region's VMs; callers choose VMs in proportion to their capacity. VMs count whether they
 *  are alive or not, so that VMs that do not see each other share limits all the same. */
static std::map<std::string_view, quota_share> capacityByRegion(const gate_state& gate, time_point now)
{
    std::map<std::string_view, quota_share> capacities;
    for (const auto* member : recentMembers(gate.members, gate.gossip, now)) {
        auto& region = capacities[regionOf(gate.members, member->zone)];
        const double capacity = std::max(1U, member->requestsPerSecond);
        region.all += capacity;
        region.before += member->vm < gate.self.vm ? capacity : 0;
        region.own += member->vm == gate.self.vm ? capacity : 0;
    }
    return capacities;
}

/** Adds a part of the requests of a region's callers to a share. */
static void addPart(quota_share& share, double part, const quota_share& capacity)
{
    share.before += part * capacity.before / capacity.all;
    share.own += part * capacity.own / capacity.all;
    share.all += part;
}

/** The share of this VM in the requests of a service, by the region of the endpoint. */
static std::map<std::string, quota_share> sharesByRegion(const gate_state& gate, const std::string& service, time_point now)
{
    std::map<std::string_view, double> slots;
    for (const auto& [id, endpoint] : gate.endpoints) {
        if (endpoint.entry.service == service && !isLeaving(gate, endpoint))
            slots[endpoint.region] += endpoint.entry.slots;
    }
    const auto capacities = capacityByRegion(gate, now);
    std::map<std::string, quota_share> shares;
    for (const auto& [region, capacity] : capacities) {
        for (const auto& [target, part] : sharesOf(region, slots, 1))
            addPart(shares[std::string(target)], part, capacity);
    }
    for (auto& [target, share] : shares) {
        if (share.all > 0)
            continue;
        for (const auto& [region, capacity] : capacities) // No objects are at home there; requests come for want of other endpoints.
            addPart(share, 1, capacity);
    }
    return shares;
}

std::uint32_t limitQuota(gate_state& gate, const endpoint_state& endpoint, double requestsPerSecond, time_point now)
{
    if (!currentTrust(gate, now).settled)
        return 0;
    auto& shares = gate.limitShares[endpoint.entry.service];
    if (shares.computedAt == time_point {} || now - shares.computedAt > ShareCacheTime) {
        shares.byRegion = sharesByRegion(gate, endpoint.entry.service, now);
        shares.computedAt = now;
    }
    const auto share = shares.byRegion.find(endpoint.region);
    return share == shares.byRegion.end() ? 0 : quotaOf(share->second, requestsPerLimitWindow(requestsPerSecond), stableHash(endpoint.entry.id));
}

} // namespace lhub
