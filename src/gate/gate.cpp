/** @file gate.cpp Dispatch of events; configuration, endpoints, evacuations and look-ups. */
#include "gate/gate_internal.h"

#include "core/hash.h"
#include "gossip/gossip_func.h"
#include "lookup/lookup_func.h"
#include <algorithm>

namespace lhub {

/** Added to a reported cold time, since the report may be this old when it arrives. */
static constexpr milliseconds ColdTimeMargin { 500 };

/** For how long endpoints that left are remembered; a snapshot from which a store is restored is some seconds old. */
static constexpr seconds LeftEndpointLifetime { 120 };
/** Most of them, about 100 bytes each. */
static constexpr std::size_t MaxLeftEndpoints = 1000;

gate_state makeGate(gate_parameters self, std::uint64_t incarnation)
{
    gate_state gate;
    gate.members.self = self.vm;
    gate.members.regionOfZone = self.regionOfZone;
    gate.members.members[self.vm] = { { self.vm, self.ip, self.zone, incarnation, 0, false, true, requestsPerSecondOf(self.capacity), milliseconds(0), {} }, {} };
    gate.distances.ownRegion = self.region;
    gate.self = std::move(self);
    return gate;
}

bool isReady(const gate_state& gate) { return gate.routes && gate.endpointsKnown && !gate.respondUntil; }

service_rules serviceRulesOf(const gate_state& gate, const std::string& service)
{
    if (!gate.routes)
        return {};
    const auto& services = gate.routes->config.services;
    const auto found = services.find(service);
    return found == services.end() ? service_rules {} : found->second;
}

time_point coldUntilOf(const gate_state& gate, const endpoint_state& endpoint)
{
    const auto zone = gate.zoneColdUntil.find(endpoint.entry.zone);
    return zone == gate.zoneColdUntil.end() ? endpoint.coldUntil : std::max(endpoint.coldUntil, zone->second);
}

bool isCold(const gate_state& gate, const endpoint_state& endpoint, time_point now) { return now < coldUntilOf(gate, endpoint); }

bool ownsColdEndpoint(const gate_state& gate, const endpoint_state& endpoint, time_point now)
{
    if (!trustOf(gate.members, gate.gossip, now).settled)
        return false;
    std::vector<rendezvous_candidate> owners;
    for (const auto* member : aliveMembers(gate.members, gate.gossip, now)) {
        const auto zone = gate.self.regionOfZone.find(member->zone);
        if (zone != gate.self.regionOfZone.end() && zone->second == endpoint.region)
            owners.push_back({ member->vm, 1 });
    }
    if (owners.empty())
        return false;
    return owners[rendezvousOrder(stableHash(endpoint.entry.id), owners).front()].name == gate.self.vm;
}

/** Whether this start of an endpoint was leaving when its registration was removed. */
static bool hasLeft(const gate_state& gate, const endpoint_registration& entry, time_point now)
{
    return std::any_of(gate.leftEndpoints.begin(), gate.leftEndpoints.end(), [&](const left_endpoint& left) {
        return left.id == entry.id && left.startUnixMs == entry.startUnixMs && now - left.removedAt < LeftEndpointLifetime;
    });
}

void applyEndpoint(gate_state& gate, time_point now, const endpoint_registration& entry, gate_effects& effects)
{
    auto [found, added] = gate.endpoints.try_emplace(entry.id);
    auto& endpoint = found->second;
    const bool restarted = !added && (entry.startUnixMs != endpoint.entry.startUnixMs || entry.address != endpoint.entry.address);
    const bool startedLeaving = !added && entry.leaving && !endpoint.entry.leaving;
    if (restarted) {
        const auto inFlight = endpoint.inFlight; // The ends of open attempts from before the restart still decrement it.
        const auto bodyBytes = endpoint.bodyBytesInFlight;
        endpoint = endpoint_state {};
        endpoint.inFlight = inFlight;
        endpoint.bodyBytesInFlight = bodyBytes;
    }
    if (added)
        endpoint.keepsLeaving = hasLeft(gate, entry, now);
    endpoint.entry = entry;
    endpoint.entry.leaving = entry.leaving || endpoint.keepsLeaving;
    const auto zone = gate.self.regionOfZone.find(entry.zone);
    endpoint.region = zone == gate.self.regionOfZone.end() ? entry.zone : zone->second;
    if (entry.coldLeft.count() > 0)
        endpoint.coldUntil = std::max(endpoint.coldUntil, now + entry.coldLeft + ColdTimeMargin);
    // The first list has thousands of endpoints in a large fleet. A line for each would exceed the rate limit of the log and
    // suppress the other lines of the start.
    if (gate.endpointsKnown && (added || restarted || startedLeaving))
        effects.push_back(log_line { "endpoint", { { "id", entry.id }, { "service", entry.service }, { "zone", entry.zone }, { "address", entry.address }, { "state", endpoint.entry.leaving ? "leaving" : "ready" }, { "cold_ms", std::to_string(entry.coldLeft.count()) } } });
}

void removeEndpoint(gate_state& gate, time_point now, const std::string& id, gate_effects& effects)
{
    const auto found = gate.endpoints.find(id);
    if (found == gate.endpoints.end())
        return;
    if (isLeaving(gate, found->second))
        gate.leftEndpoints.push_back({ id, found->second.entry.startUnixMs, now });
    auto& left = gate.leftEndpoints;
    while (!left.empty() && (left.size() > MaxLeftEndpoints || now - left.front().removedAt >= LeftEndpointLifetime))
        left.pop_front();
    gate.endpoints.erase(found);
    effects.push_back(log_line { "endpoint", { { "id", id }, { "state", "gone" } } });
}

/** Keeps endpoints leaving that are so now: an older registration, which is read next, may not say it. */
static void onStoreRestored(gate_state& gate)
{
    for (auto& [id, endpoint] : gate.endpoints)
        endpoint.keepsLeaving = endpoint.keepsLeaving || endpoint.entry.leaving;
}

void applyEvacuations(gate_state& gate, time_point now, const std::set<std::string>& zones, gate_effects& effects)
{
    for (const auto& zone : zones) {
        if (gate.evacuatedZones.count(zone) == 0)
            effects.push_back(log_line { "evacuation", { { "zone", zone }, { "state", "empty" } } });
    }
    for (const auto& zone : gate.evacuatedZones) {
        if (zones.count(zone) > 0)
            continue;
        milliseconds longestColdPeriod { 0 };
        if (gate.routes) {
            for (const auto& [name, rules] : gate.routes->config.services)
                longestColdPeriod = std::max(longestColdPeriod, rules.coldPeriod);
        }
        gate.zoneColdUntil[zone] = now + longestColdPeriod + ColdTimeMargin;
        effects.push_back(log_line { "evacuation", { { "zone", zone }, { "state", "taken back" } } });
    }
    gate.evacuatedZones = zones;
}

std::vector<std::string> lookUp(const gate_state& gate, std::string_view host, std::string_view region, time_point now)
{
    std::vector<std::string> routeRegions;
    if (gate.routes) {
        const auto found = gate.routes->byHost.find(canonicalHost(host));
        if (found != gate.routes->byHost.end()) {
            for (const auto index : found->second) {
                const auto& regions = gate.routes->config.routes[index].regions;
                routeRegions.insert(routeRegions.end(), regions.begin(), regions.end());
            }
        }
    }
    return membersFor(gate.members, region, routeRegions, gate.self.regionOfZone, gate.gossip, now);
}

static void applyConfig(gate_state& gate, time_point now, const config_received& event, gate_effects& effects)
{
    const bool notNewer = gate.routes && event.table->config.version <= gate.routes->config.version;
    effects.push_back(log_line { "config", { { "version", std::to_string(event.table->config.version) }, { "revision", std::to_string(event.revision) }, { "routes", std::to_string(event.table->config.routes.size()) }, { "outcome", notNewer ? "ignored, older" : "in force" } } });
    if (notNewer)
        return;
    gate.routes = event.table;
    gate.configRevision = event.revision;
    applyQuotaLimits(gate, now, effects);
}

/** Logs one line for all endpoints of the first complete list; applyEndpoint() logs later changes one by one. */
static void onEndpointsListed(gate_state& gate, gate_effects& effects)
{
    if (gate.endpointsKnown)
        return;
    gate.endpointsKnown = true;
    std::map<std::string, std::size_t> byService;
    for (const auto& [id, endpoint] : gate.endpoints)
        ++byService[endpoint.entry.service];
    log_line line { "endpoints", { { "known", std::to_string(gate.endpoints.size()) } } };
    for (const auto& [service, count] : byService)
        line.fields.emplace_back("service", service + ":" + std::to_string(count));
    effects.push_back(std::move(line));
}

void reduceGate(gate_state& gate, time_point now, const gate_event& event, gate_effects& effects)
{
    if (gate.members.viewResetAt == time_point {})
        gate.members.viewResetAt = now;
    const bool wasReady = isReady(gate);
    if (const auto* config = std::get_if<config_received>(&event))
        applyConfig(gate, now, *config, effects);
    else if (const auto* seen = std::get_if<endpoint_updated>(&event))
        applyEndpoint(gate, now, seen->entry, effects);
    else if (const auto* gone = std::get_if<endpoint_removed>(&event))
        removeEndpoint(gate, now, gone->id, effects);
    else if (std::holds_alternative<endpoints_listed>(event))
        onEndpointsListed(gate, effects);
    else if (const auto* evacuations = std::get_if<evacuations_updated>(&event))
        applyEvacuations(gate, now, evacuations->zones, effects);
    else if (std::holds_alternative<store_restored>(event))
        onStoreRestored(gate);
    else if (const auto* request = std::get_if<request_received>(&event))
        onRequestReceived(gate, now, *request, effects);
    else if (const auto* attempt = std::get_if<attempt_ended>(&event))
        onAttemptEnded(gate, now, *attempt, effects);
    else if (const auto* updates = std::get_if<report_updates_received>(&event))
        onReportUpdates(gate, now, *updates, effects);
    else if (const auto* caller = std::get_if<caller_gone>(&event))
        onCallerGone(gate, caller->request, effects);
    else if (const auto* woken = std::get_if<request_timer_expired>(&event))
        onRequestTimer(gate, now, woken->request, effects);
    else if (const auto* quota = std::get_if<quota_message_received>(&event))
        onQuotaMessage(gate, now, quota->message, effects);
    else if (std::holds_alternative<quota_round_due>(event))
        onQuotaRound(gate, now, effects);
    else if (const auto* stop = std::get_if<stop_requested>(&event))
        onStopRequested(gate, *stop, effects);
    else if (const auto* paces = std::get_if<pace_updates_received>(&event))
        onPaceUpdates(gate, now, *paces);
    logPaceChanges(gate, effects);
    gate.members.members[gate.self.vm].record.serving = isReady(gate);
    if (isReady(gate) != wasReady)
        effects.push_back(log_line { "ready", { { "ready", isReady(gate) ? "yes" : "no" } } });
}

} // namespace lhub
