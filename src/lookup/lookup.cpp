/** @file lookup.cpp Which entry VMs the response to a look-up names. */
#include "lookup/lookup_func.h"

#include "core/hash.h"
#include "gossip/gossip_func.h"
#include <algorithm>

namespace lhub {

/** Processor time of one forwarded request, in core seconds; see docs/CAPACITY.md. */
static constexpr double CoreSecondsPerRequest = 0.0002;
/** Traffic of one forwarded request on a VM's link in each direction, in Mbit: the mean response of the users' services is 12 KB. */
static constexpr double MbitPerRequest = 0.1;
static constexpr std::uint64_t NamingSeed = 0x51c7; ///< Makes this hash independent of other hashes of VM names; equal on all VMs.

std::uint32_t requestsPerSecondOf(const vm_size& size)
{
    const double capacity = std::min(size.cores / CoreSecondsPerRequest, size.linkMbps / MbitPerRequest);
    return static_cast<std::uint32_t>(std::clamp(capacity, 1.0, 1e9));
}

/** Pseudo-random number, uniform in [0, 1), that is fixed for a pair of VMs. */
static double pairHash(std::string_view answerer, std::string_view vm)
{
    constexpr double HashRange = 18446744073709551616.0; // 2^64
    return static_cast<double>(stableHash(vm, stableHash(answerer, NamingSeed))) / HashRange;
}

std::vector<std::string> chooseNamedVms(std::string_view answerer, const std::vector<lookup_candidate>& candidates)
{
    std::uint32_t largestCapacity = 1;
    for (const auto& candidate : candidates)
        largestCapacity = std::max(largestCapacity, candidate.requestsPerSecond);
    // A candidate with a rank below 1 is chosen. The lowest ranks are preferred if that gives too few or too many.
    std::vector<std::pair<double, std::size_t>> ranked;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        ranked.emplace_back(pairHash(answerer, candidates[i].vm) * largestCapacity / std::max(1U, candidates[i].requestsPerSecond), i);
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::size_t> chosen;
    for (const auto& [rank, index] : ranked) {
        if (chosen.size() < MaxNamedVms && (rank < 1 || chosen.size() < MinNamedVms))
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
    const std::map<std::string, std::string>& regionOfZone, const gossip_settings& settings, time_point now)
{
    std::vector<lookup_candidate> inRegion;
    std::vector<lookup_candidate> inHomes;
    std::vector<lookup_candidate> all;
    for (const auto* member : aliveMembers(table, settings, now)) {
        if (!member->serving)
            continue;
        const auto found = regionOfZone.find(member->zone);
        const std::string_view memberRegion = found == regionOfZone.end() ? std::string_view() : found->second;
        const lookup_candidate candidate { member->vm, member->ip, member->requestsPerSecond };
        all.push_back(candidate);
        if (memberRegion == region)
            inRegion.push_back(candidate);
        if (std::find(homes.begin(), homes.end(), memberRegion) != homes.end())
            inHomes.push_back(candidate);
    }
    if (!inRegion.empty())
        return chooseNamedVms(table.self, inRegion);
    return chooseNamedVms(table.self, inHomes.empty() ? all : inHomes);
}

} // namespace lhub
