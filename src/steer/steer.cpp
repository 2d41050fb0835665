/** @file steer.cpp Which entry VMs a caller should use. */
#include "steer/steer_func.h"

#include "config/config_func.h"
#include "core/hash.h"
#include <algorithm>

namespace lhub {

constexpr std::size_t MostChoices = 3;

steer_index makeSteerIndex(const config_view& view)
{
    steer_index index;
    for (const auto& [zone, place] : view.places) {
        index.zonesOf[place.region].push_back(zone);
        index.regionOf[zone] = place.region;
    }
    for (const auto& [name, vm] : view.vms) {
        if (!isVmLeaving(view, vm) && !isZoneDrained(view, vm.zone))
            index.byZone[vm.zone].push_back({ name, vm.http, 0 });
    }
    return index;
}

/** Adds the living VMs of one zone in their order for this client. */
static void addZone(const steer_index& index, const std::string& zone, std::uint64_t clientHash,
    const std::set<std::string>& avoid, steer_answer& answer)
{
    const auto found = index.byZone.find(zone);
    if (found == index.byZone.end() || answer.choices.size() >= MostChoices)
        return;
    std::vector<rendezvous_candidate> candidates;
    for (const auto& choice : found->second)
        candidates.push_back({ choice.vm, 1 });
    for (const auto position : rendezvousOrder(clientHash, candidates)) {
        const auto& choice = found->second[position];
        if (answer.choices.size() < MostChoices && avoid.count(choice.vm) == 0)
            answer.choices.push_back(choice);
    }
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
    addZone(index, zone, clientHash, avoid, answer);
    const auto region = index.regionOf.find(zone);
    if (region != index.regionOf.end()) {
        for (const auto& near : index.zonesOf.at(region->second)) {
            if (near != zone)
                addZone(index, near, clientHash, avoid, answer);
        }
    }
    for (auto far = index.byZone.begin(); far != index.byZone.end() && answer.choices.size() < MostChoices; ++far) {
        const auto farRegion = index.regionOf.find(far->first);
        const bool done = far->first == zone
            || (region != index.regionOf.end() && farRegion != index.regionOf.end()
                && farRegion->second == region->second);
        if (!done)
            addZone(index, far->first, clientHash, avoid, answer);
    }
    setWeights(answer);
    return answer;
}

} // namespace lhub
