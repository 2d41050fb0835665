/** @file entry_pool.cpp Decisions of a pool's owner: grant a slot, hop to another zone under a credit, queue or refuse. */
#include "config/config_func.h"
#include "core/hash.h"
#include "entry/entry_internal.h"
#include "shift/shift_func.h"

#include <algorithm>

namespace lhub {

/**
 * Other zones with endpoints of the service, without drained ones.
 * @param region only zones of this region; empty for all regions.
 */
static std::vector<std::string> zonesWithEndpoints(
    const entry_state& state, const std::string& service, const std::string& region)
{
    std::set<std::string> zones;
    const auto listed = state.view.endpoints.find(service);
    if (listed == state.view.endpoints.end())
        return {};
    for (const auto& [name, endpoint] : listed->second) {
        const bool inRegion = region.empty() || regionOf(state.view, endpoint.zone) == region;
        if (inRegion && endpoint.zone != state.zone && !isZoneDrained(state.view, endpoint.zone))
            zones.insert(endpoint.zone);
    }
    return { zones.begin(), zones.end() };
}

/** Reserves a credit towards one of @p zones that the request has not tried yet; the first choice rotates. */
static std::optional<acquire_answer> tryHop(entry_state& state, pool_state& pool, const acquire_request& request,
    const std::vector<std::string>& zones)
{
    const auto start = zones.empty() ? 0 : pool.lastReservation % zones.size();
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const auto& zone = zones[(start + i) % zones.size()];
        if (std::find(request.avoid.begin(), request.avoid.end(), zone) != request.avoid.end())
            continue;
        const auto id = reserveCredit(pool, zone, request, presentTime(state));
        if (id)
            return acquire_answer { request.callId, acquire_result::Hop, zone, {}, *id, {} };
    }
    return std::nullopt;
}

/** Moves the request to another region if a shift of this service and region is due to, and credit is left. */
static std::optional<acquire_answer> tryShifts(
    entry_state& state, pool_state& pool, const acquire_request& request)
{
    const auto now = presentTime(state);
    const auto age = elapsed(state.confirmedAt, now);
    std::optional<acquire_answer> answer;
    for (auto& [name, shift] : state.shifts[pool.service]) {
        if (shift.config.fromRegion != state.region)
            continue;
        recordArrival(shift, now);
        if (answer || !isMoveDue(shift, age, now))
            continue;
        answer = tryHop(state, pool, request, zonesWithEndpoints(state, pool.service, shift.config.toRegion));
        if (!answer)
            continue;
        recordMove(shift, now);
        ++state.counters.moved;
    }
    return answer;
}

/**
 * Sends the request to another zone when this one has no free slot: to the same region first, to any region once as
 * many requests wait as there are usable slots.
 */
static std::optional<acquire_answer> trySpill(
    entry_state& state, pool_state& pool, const acquire_request& request)
{
    const auto now = presentTime(state);
    const auto usable = usableSlots(pool, now);
    if (pool.localInflight + slotsLent(pool, now) < usable)
        return std::nullopt;
    if (auto inRegion = tryHop(state, pool, request, zonesWithEndpoints(state, pool.service, state.region)))
        return inRegion;
    if (pool.queue.size() < usable)
        return std::nullopt;
    return tryHop(state, pool, request, zonesWithEndpoints(state, pool.service, {}));
}

void decideAcquire(entry_state& state, pool_state& pool, const acquire_request& request, entry_effects& effects)
{
    const auto now = presentTime(state);
    std::vector<acquire_answer> answers;
    if (!mayAdmit(state.members)) {
        enqueueRequest(pool, request, now, answers);
        deliverAnswers(state, answers, effects);
        return;
    }
    std::optional<acquire_answer> hop;
    if (request.mayMove && request.avoid.empty())
        hop = tryShifts(state, pool, request);
    if (!hop && request.mayMove)
        hop = trySpill(state, pool, request);
    if (hop)
        answers.push_back(std::move(*hop));
    else
        acquireSlot(pool, request, now, answers);
    deliverAnswers(state, answers, effects);
}

void deliverAnswers(entry_state& state, const std::vector<acquire_answer>& answers, entry_effects& effects)
{
    for (const auto& answer : answers) {
        if (answer.callId & RemoteCallBit)
            effects.push_back(reply_acquire { answer });
        else
            applyAnswer(state, answer, effects);
    }
}

/** Sends waiting requests to other zones while credit is left, from the front of the queue. */
static void spillQueue(entry_state& state, pool_state& pool, std::vector<acquire_answer>& answers)
{
    while (!pool.queue.empty() && pool.queue.front().mayMove) {
        auto hop = trySpill(state, pool, pool.queue.front());
        if (!hop)
            return;
        answers.push_back(std::move(*hop));
        pool.queue.pop_front();
    }
}

void serveOwnedPool(entry_state& state, pool_state& pool, entry_effects& effects)
{
    if (pool.role != pool_role::Owner || !mayAdmit(state.members))
        return;
    std::vector<acquire_answer> answers;
    serveQueue(pool, presentTime(state), answers);
    spillQueue(state, pool, answers);
    deliverAnswers(state, answers, effects);
}

void onAcquire(entry_state& state, const acquire_arrived& event, entry_effects& effects)
{
    const auto found = state.pools.find(event.service);
    if (found == state.pools.end() || found->second.role != pool_role::Owner) {
        effects.push_back(reply_acquire { { event.request.callId, acquire_result::NotOwner, {}, {}, 0, {} } });
        return;
    }
    decideAcquire(state, found->second, event.request, effects);
}

/** Whether the outcome is a failure of the endpoint; nothing when it is neither a failure nor a success. */
static std::optional<bool> endpointFailed(dispatch_outcome ended)
{
    switch (ended) {
    case dispatch_outcome::Whole:
        return false;
    case dispatch_outcome::ConnectFailed:
    case dispatch_outcome::NoResponse:
    case dispatch_outcome::TimedOut:
    case dispatch_outcome::Truncated:
        return true;
    default:
        return std::nullopt;
    }
}

void onRelease(entry_state& state, const release_arrived& event, entry_effects& effects)
{
    const auto found = state.pools.find(event.service);
    if (found == state.pools.end() || found->second.role != pool_role::Owner)
        return;
    auto& pool = found->second;
    if (const auto failed = endpointFailed(event.ended))
        recordEndpointResult(pool, event.endpoint, *failed, event.vm, presentTime(state));
    const auto endpoint = pool.endpoints.find(event.endpoint);
    if (event.endpointLeaving && endpoint != pool.endpoints.end())
        endpoint->second.leaving = true;
    const auto hop = pool.reservations.find(event.reservation);
    if (event.ended == dispatch_outcome::Shed && hop != pool.reservations.end() && hop->second.hop)
        pool.creditsHeld[hop->second.endpoint].amount = 0; // the other zone refused the hop, so the credit is void there
    releaseSlot(pool, event.reservation);
    serveOwnedPool(state, pool, effects);
}

void onCredit(entry_state& state, const credit_arrived& event, entry_effects& effects)
{
    const auto found = state.pools.find(event.service);
    if (found == state.pools.end() || found->second.role != pool_role::Owner || !mayAdmit(state.members)) {
        effects.push_back(reply_credit { event.callId, false, 0, milliseconds(0) });
        return;
    }
    auto& pool = found->second;
    const auto granted = lendCredit(pool, event.sourceZone, event.wanted, presentTime(state));
    effects.push_back(reply_credit { event.callId, true, granted, pool.limits.creditLifetime });
}

void onCreditAnswer(entry_state& state, const credit_answered& event, entry_effects& effects)
{
    const auto found = state.pools.find(event.service);
    if (found == state.pools.end() || found->second.role != pool_role::Owner)
        return;
    if (!event.owner) {
        ++state.contactTurn[event.service + "/" + event.zone];
        found->second.creditsHeld[event.zone].demand += 1;
        return;
    }
    recordCredit(found->second, event.zone, event.granted, event.valid, event.sentAt);
    serveOwnedPool(state, found->second, effects);
}

void onProbe(entry_state& state, const probe_ended& event, entry_effects& effects)
{
    const auto found = state.pools.find(event.service);
    if (found == state.pools.end())
        return;
    auto& pool = found->second;
    const auto endpoint = pool.endpoints.find(event.endpoint);
    if (endpoint == pool.endpoints.end())
        return;
    if (!event.answered) {
        recordEndpointResult(pool, event.endpoint, true, "probe", presentTime(state));
        return;
    }
    if (endpoint->second.leaving != event.leaving) {
        logChange(effects,
            "endpoint=" + event.service + "/" + event.endpoint + " leaving=" + (event.leaving ? "true" : "false"));
    }
    recordProbe(pool, event.endpoint, event.leaving, event.inflight, presentTime(state));
    serveOwnedPool(state, pool, effects);
}

std::vector<std::string> rankedVms(const entry_state& state, const std::string& zone, std::uint64_t key)
{
    std::vector<rendezvous_candidate> candidates;
    for (const auto& [name, vm] : state.view.vms) {
        if (vm.zone == zone && !isVmLeaving(state.view, vm))
            candidates.push_back({ name, 1 });
    }
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const auto position : rendezvousOrder(key, candidates))
        names.emplace_back(candidates[position].name);
    return names;
}

const vm_config* zoneContact(entry_state& state, const std::string& service, const std::string& zone)
{
    const auto names = rankedVms(state, zone, stableHash(service));
    if (names.empty())
        return nullptr;
    const auto turn = state.contactTurn[service + "/" + zone] % names.size();
    return &state.view.vms.at(names[turn]);
}

/** Requests credit from other zones where there was demand, and from this region's zones when the load is high. */
static void requestCredits(entry_state& state, pool_state& pool, entry_effects& effects)
{
    constexpr std::uint32_t WholePercent = 100;
    const auto now = presentTime(state);
    const auto taken = pool.localInflight + slotsLent(pool, now) + pool.queue.size();
    if (taken * WholePercent > std::uint64_t(usableSlots(pool, now)) * pool.limits.highLoadPercent) {
        for (const auto& zone : zonesWithEndpoints(state, pool.service, state.region))
            ++pool.creditsHeld[zone].demand;
    }
    for (auto& [zone, held] : pool.creditsHeld) {
        const auto wanted = nextCreditRequest(pool, zone, now);
        const auto* target = wanted ? zoneContact(state, pool.service, zone) : nullptr;
        if (target)
            effects.push_back(send_credit { zone, target->peer, pool.service, *wanted });
    }
}

void maintainPools(entry_state& state, entry_effects& effects)
{
    constexpr double DemandDecay = 0.95; // of localDemandPeak, per tick
    const bool probesDue = presentTime(state) >= state.nextProbe;
    if (probesDue)
        state.nextProbe = presentTime(state) + state.limits.probeInterval;
    for (auto& [service, pool] : state.pools) {
        if (pool.role != pool_role::Owner)
            continue;
        pool.localDemandPeak
            = std::max(pool.localDemandPeak * DemandDecay, pool.localInflight + static_cast<double>(pool.queue.size()));
        serveOwnedPool(state, pool, effects);
        requestCredits(state, pool, effects);
        if (!probesDue)
            continue;
        const auto config = state.view.services.find(service);
        const auto path = config == state.view.services.end() ? "/healthz" : config->second.probePath;
        for (const auto& [name, endpoint] : pool.endpoints)
            effects.push_back(send_probe { service, name, endpoint.address, path });
    }
}

} // namespace lhub
