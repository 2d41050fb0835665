/** @file client_lookup.cpp Choosing entry VMs for a client. */
#include "client_lookup/client_lookup_func.h"

#include "config/config_func.h"
#include "core/hash.h"
#include <algorithm>

namespace lhub {

constexpr std::size_t MaxChoicesInRegion = 3; // two of the client's zone if it has them, then others of its region
constexpr std::size_t MaxChoicesInZone = 2;
constexpr std::size_t MaxChoices = 4; // the last one is in another region, in case a whole region is lost

client_lookup_index makeClientLookupIndex(const config_view& view)
{
    client_lookup_index index;
    for (const auto& [zone, place] : view.places) {
        index.zonesByRegion[place.region].push_back(zone);
        index.regionOf[zone] = place.region;
    }
    for (const auto& [name, vm] : view.vms) {
        index.zoneOfVmIp[vm.http.substr(0, vm.http.rfind(':'))] = vm.zone;
        if (!isVmLeaving(view, vm) && !isZoneDrained(view, vm.zone))
            index.vmsByZone[vm.zone].push_back({ name, vm.http, 0 });
    }
    auto regions = index.zonesByRegion;
    regions[std::string()] = {}; // region of clients whose zone is unknown
    for (const auto& [region, zones] : regions) {
        for (const auto& [zone, vms] : index.vmsByZone) {
            const auto found = index.regionOf.find(zone);
            if (found == index.regionOf.end() || found->second != region)
                index.zonesOutside[region].push_back(zone);
        }
    }
    return index;
}

/** Adds VMs of one zone, in the order that the client's hash gives, until there are @p maxChoices choices. */
static void addVmsOfZone(const client_lookup_index& index, const std::string& zone, std::uint64_t clientHash,
    const std::set<std::string>& avoid, std::size_t maxChoices, client_lookup_result& result)
{
    const auto found = index.vmsByZone.find(zone);
    if (found == index.vmsByZone.end() || result.choices.size() >= maxChoices)
        return;
    std::vector<rendezvous_candidate> candidates;
    candidates.reserve(found->second.size());
    for (const auto& choice : found->second)
        candidates.push_back({ choice.vm, 1 });
    for (const auto position : rendezvousOrder(clientHash, candidates)) {
        const auto& choice = found->second[position];
        if (result.choices.size() < maxChoices && avoid.count(choice.vm) == 0)
            result.choices.push_back(choice);
    }
}

/** Adds one VM of another region, or up to MaxChoices when there is no choice yet; clients begin at different zones. */
static void addVmOutsideRegion(const client_lookup_index& index, const std::string& region, std::uint64_t clientHash,
    const std::set<std::string>& avoid, client_lookup_result& result)
{
    const auto found = index.zonesOutside.find(region);
    if (found == index.zonesOutside.end())
        return;
    const auto& zones = found->second;
    const auto maxChoices = result.choices.empty() ? MaxChoices : result.choices.size() + 1;
    for (std::size_t i = 0; i < zones.size() && result.choices.size() < maxChoices; ++i)
        addVmsOfZone(index, zones[(clientHash + i) % zones.size()], clientHash, avoid, maxChoices, result);
}

/** Sets the weights: 100 for the first choice, and for each further one half of the weight before it. */
static void setWeights(client_lookup_result& result)
{
    std::uint32_t weight = 100;
    for (auto& choice : result.choices) {
        choice.weight = weight;
        weight /= 2;
    }
}

client_lookup_result lookUpClient(const client_lookup_index& index, const std::string& zone, std::uint64_t clientHash,
    const std::set<std::string>& avoid)
{
    client_lookup_result result;
    result.zone = zone;
    addVmsOfZone(index, zone, clientHash, avoid, MaxChoicesInZone, result);
    const auto region = index.regionOf.find(zone);
    const auto regionName = region == index.regionOf.end() ? std::string() : region->second;
    const auto zonesInRegion = index.zonesByRegion.find(regionName);
    if (zonesInRegion != index.zonesByRegion.end()) {
        for (const auto& other : zonesInRegion->second) {
            if (other != zone)
                addVmsOfZone(index, other, clientHash, avoid, MaxChoicesInRegion, result);
        }
    }
    addVmOutsideRegion(index, regionName, clientHash, avoid, result);
    setWeights(result);
    return result;
}

} // namespace lhub
