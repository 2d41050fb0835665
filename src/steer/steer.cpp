/** @file steer.cpp Which entry VMs a caller should use. */
#include "steer/steer_func.h"

#include "config/config_func.h"
#include "core/hash.h"
#include <algorithm>

namespace lhub {

constexpr std::size_t ChoicesInRegion = 3; // two of the own zone where it has them, then the region's others
constexpr std::size_t ChoicesInZone = 2;
constexpr std::size_t MostChoices = 4; // the last one lies in another region, for the loss of a whole one

steer_index makeSteerIndex(const config_view& view)
{
    steer_index index;
    for (const auto& [zone, place] : view.places) {
        index.zonesOf[place.region].push_back(zone);
        index.regionOf[zone] = place.region;
    }
    for (const auto& [name, vm] : view.vms) {
        index.zoneOfIp[vm.http.substr(0, vm.http.rfind(':'))] = vm.zone;
        if (!isVmLeaving(view, vm) && !isZoneDrained(view, vm.zone))
            index.byZone[vm.zone].push_back({ name, vm.http, 0 });
    }
    auto regions = index.zonesOf;
    regions[std::string()] = {}; // of clients whose zone is not known
    for (const auto& [region, zones] : regions) {
        for (const auto& [zone, vms] : index.byZone) {
            const auto found = index.regionOf.find(zone);
            if (found == index.regionOf.end() || found->second != region)
                index.farFrom[region].push_back(zone);
        }
    }
    return index;
}

/** Adds living VMs of one zone in their order for this client, until the answer has @p most choices. */
static void addZone(const steer_index& index, const std::string& zone, std::uint64_t clientHash,
    const std::set<std::string>& avoid, std::size_t most, steer_answer& answer)
{
    const auto found = index.byZone.find(zone);
    if (found == index.byZone.end() || answer.choices.size() >= most)
        return;
    std::vector<rendezvous_candidate> candidates;
    candidates.reserve(found->second.size());
    for (const auto& choice : found->second)
        candidates.push_back({ choice.vm, 1 });
    for (const auto position : rendezvousOrder(clientHash, candidates)) {
        const auto& choice = found->second[position];
        if (answer.choices.size() < most && avoid.count(choice.vm) == 0)
            answer.choices.push_back(choice);
    }
}

/** Adds one VM of another region; clients begin at different zones. */
static void addFar(const steer_index& index, const std::string& region, std::uint64_t clientHash,
    const std::set<std::string>& avoid, steer_answer& answer)
{
    const auto found = index.farFrom.find(region);
    if (found == index.farFrom.end())
        return;
    const auto& zones = found->second;
    const auto most = answer.choices.empty() ? MostChoices : answer.choices.size() + 1;
    for (std::size_t i = 0; i < zones.size() && answer.choices.size() < most; ++i)
        addZone(index, zones[(clientHash + i) % zones.size()], clientHash, avoid, most, answer);
}

/** Gives the first choice half of the weight, each further one half of what is left. */
static void setWeights(steer_answer& answer)
{
    std::uint32_t weight = 100;
    for (auto& choice : answer.choices) {
        choice.weight = weight;
        weight /= 2;
    }
}

steer_answer steerClient(
    const steer_index& index, const std::string& zone, std::uint64_t clientHash, const std::set<std::string>& avoid)
{
    steer_answer answer;
    answer.zone = zone;
    addZone(index, zone, clientHash, avoid, ChoicesInZone, answer);
    const auto region = index.regionOf.find(zone);
    const auto name = region == index.regionOf.end() ? std::string() : region->second;
    const auto near = index.zonesOf.find(name);
    if (near != index.zonesOf.end()) {
        for (const auto& other : near->second) {
            if (other != zone)
                addZone(index, other, clientHash, avoid, ChoicesInRegion, answer);
        }
    }
    addFar(index, name, clientHash, avoid, answer);
    setWeights(answer);
    return answer;
}

} // namespace lhub
