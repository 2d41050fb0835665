/** @file lookup.cpp Which entry VMs a look-up names. */
#include "lookup/lookup_func.h"

#include "core/hash.h"
#include "gossip/gossip_func.h"
#include <algorithm>

namespace lhub {

/** Processor time of a forwarded request, in core seconds; docs/CAPACITY.md. */
static constexpr double CoreSecondsPerRequest = 0.0002;
/** Bits on a VM's link for a request, each way: 12 KB is the mean answer of the users' services. */
static constexpr double MbitPerRequest = 0.1;
static constexpr std::uint64_t NamingSeed = 0x51c7; ///< Separates this choice from others.

std::uint32_t carriedBy(const vm_size& size)
{
    const double carried = std::min(size.cores / CoreSecondsPerRequest, size.linkMbps / MbitPerRequest);
    return static_cast<std::uint32_t>(std::clamp(carried, 1.0, 1e9));
}

/** Uniform number in [0, 1) of a pair of VMs. */
static double drawOf(std::string_view answerer, std::string_view vm)
{
    constexpr double HashRange = 18446744073709551616.0; // 2^64
    return static_cast<double>(stableHash(vm, stableHash(answerer, NamingSeed))) / HashRange;
}

std::vector<std::string> nameVms(std::string_view answerer, const std::vector<lookup_candidate>& candidates)
{
    std::uint32_t largest = 1;
    for (const auto& candidate : candidates)
        largest = std::max(largest, candidate.carries);
    // Below 1: the draw lets the candidate in. The lowest come first when there are too few or too many.
    std::vector<std::pair<double, std::size_t>> ranked;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        ranked.emplace_back(drawOf(answerer, candidates[i].vm) * largest / std::max(1U, candidates[i].carries), i);
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::size_t> chosen;
    for (const auto& [rank, index] : ranked) {
        if (chosen.size() < MostNamed && (rank < 1 || chosen.size() < LeastNamed))
            chosen.push_back(index);
    }
    std::sort(chosen.begin(), chosen.end());
    std::vector<std::string> result;
    result.reserve(chosen.size());
    for (const auto index : chosen)
        result.emplace_back(candidates[index].ip);
    return result;
}

std::vector<std::string> membersFor(const member_table& table, std::string_view region, const std::vector<std::string>& homes,
    const std::map<std::string, std::string>& regionOfZone, const gossip_limits& limits, time_point now)
{
    std::vector<lookup_candidate> local;
    std::vector<lookup_candidate> atHome;
    std::vector<lookup_candidate> all;
    for (const auto* member : aliveMembers(table, limits, now)) {
        if (!member->serving)
            continue;
        const auto zone = regionOfZone.find(member->zone);
        const std::string_view where = zone == regionOfZone.end() ? std::string_view() : zone->second;
        const lookup_candidate candidate { member->vm, member->ip, member->requestsPerSecond };
        all.push_back(candidate);
        if (where == region)
            local.push_back(candidate);
        if (std::find(homes.begin(), homes.end(), where) != homes.end())
            atHome.push_back(candidate);
    }
    if (!local.empty())
        return nameVms(table.self, local);
    return nameVms(table.self, atHome.empty() ? all : atHome);
}

} // namespace lhub
