/** @file entry_request.cpp Progress of a request: claim, slot, dispatch, retry, answer. */
#include "burn_rate/burn_rate_func.h"
#include "config/config_func.h"
#include "core/hash.h"
#include "entry/entry_internal.h"
#include "request/request_func.h"

#include <algorithm>

namespace lhub {

constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusTimeout = 504;

/** Counts an ended request as good or bad for the service-level objective. Hops are counted in the zone they came from. */
static void countForObjective(entry_state& state, const request_state& request, bool whole)
{
    const auto service = state.view.services.find(request.service);
    if (service == state.view.services.end() || !request.sourceZone.empty())
        return;
    const auto latency = elapsed(request.arrived, presentTime(state));
    const bool good = whole && latency <= milliseconds(service->second.latencyMs);
    noteEvent(state.burn[request.service], good, request.weight, presentTime(state));
}

/** Ends a request with a problem document, and removes it. */
static void failRequest(
    entry_state& state, const request_state& request, unsigned status, const std::string& reason, entry_effects& effects)
{
    effects.push_back(answer_caller { request.id, status, request.known, reason });
    settleClaim(state, request, request.known, effects);
    if (status != StatusConflict)
        countForObjective(state, request, false);
    ++(request.known == verdict::NotRun ? state.counters.refused : state.counters.uncertain);
    state.requests.erase(request.id);
}

/** Sends a release to the pool's owner, if one is known. */
static void sendRelease(const entry_state& state, pending_release& pending, entry_effects& effects)
{
    const auto* owner = announcedOwner(state.members, pending.release.service);
    if (!owner)
        return;
    pending.retryAt = presentTime(state) + state.limits.releaseRetryInterval;
    effects.push_back(send_release { owner->vm, owner->address, pending.release });
}

/** Releases the request's reservation at the pool's owner, which may be this VM. Does nothing if it holds none. */
static void releaseReservation(
    entry_state& state, request_state& request, const dispatch_ended& ended, entry_effects& effects)
{
    if (request.reservation == 0)
        return;
    release_arrived release { request.service, state.vm, request.reservation, request.endpoint, ended.ended,
        ended.endpointLeaving };
    request.reservation = 0;
    const auto pool = state.pools.find(request.service);
    if (pool != state.pools.end() && pool->second.role == pool_role::Owner) {
        onRelease(state, release, effects);
        return;
    }
    // The reservation expires at the owner one second after the deadline; see pool_limits::expiryGrace.
    const auto expiresAt = request.deadline + seconds(1);
    auto& pending = state.pendingReleases[release.reservation] = { release, presentTime(state), expiresAt };
    sendRelease(state, pending, effects);
}

/** Asks the pool's owner for a slot; without a known owner the request waits in phase Seeking. */
static void requestSlot(entry_state& state, request_state& request, entry_effects& effects)
{
    const auto found = state.pools.find(request.service);
    if (found == state.pools.end()) {
        const auto copy = request;
        failRequest(state, copy, StatusNotFound, "no service " + copy.service, effects);
        return;
    }
    acquire_request acquire { request.id, request.requestId, state.vm, request.deadline, request.weight, request.avoid,
        request.sourceZone, request.sourceZone.empty() };
    if (found->second.role == pool_role::Owner) {
        request.phase = request_phase::Acquiring;
        request.slotOwnerVm.clear();
        decideAcquire(state, found->second, acquire, effects);
        return;
    }
    const auto* owner = announcedOwner(state.members, request.service);
    if (!owner) {
        request.phase = request_phase::Seeking;
        return;
    }
    request.phase = request_phase::Acquiring;
    request.slotOwnerVm = owner->vm;
    effects.push_back(send_acquire { owner->vm, owner->address, request.service, std::move(acquire) });
}

/** Sets the time of arrival, the deadline and the weight of a new request by the configuration of its service. */
static void applyServiceConfig(request_state& request, const service_config& service, time_point now)
{
    request.arrived = now;
    const auto latest = now + milliseconds(service.deadlineMs);
    request.deadline = request.deadline == time_point {} ? latest : std::min(request.deadline, latest);
    const auto& doubled = service.doubleWeight;
    if (std::find(doubled.begin(), doubled.end(), request.method) != doubled.end())
        request.weight = 2;
}

void onRequest(entry_state& state, const request_arrived& event, entry_effects& effects)
{
    ++state.counters.requests;
    depositRetryTokens(state.retries);
    const auto id = event.request.id;
    const auto service = state.view.services.find(event.request.service);
    if (service == state.view.services.end()) {
        failRequest(state, event.request, StatusNotFound, "no service " + event.request.service, effects);
        return;
    }
    if (state.requests.size() >= state.limits.maxRequests) {
        failRequest(state, event.request, StatusUnavailable, "too many requests in flight", effects);
        return;
    }
    auto& request = state.requests[id] = event.request;
    applyServiceConfig(request, service->second, presentTime(state));
    const bool needsClaim = !request.key.empty() && !isIdempotent(request.method) && request.sourceZone.empty();
    if (!needsClaim) {
        requestSlot(state, request, effects);
        return;
    }
    startClaim(state, request, effects);
}

void onClaim(entry_state& state, const claim_answered& event, entry_effects& effects)
{
    const auto found = state.requests.find(event.id);
    if (found == state.requests.end() || found->second.phase != request_phase::Claiming)
        return;
    auto& request = found->second;
    if (event.result == claim_result::First) {
        request.holdsKeyClaim = true;
        request.claimVersion = event.version;
        requestSlot(state, request, effects);
        return;
    }
    auto copy = request;
    if (event.result == claim_result::Repeated) {
        ++state.counters.repeated;
        copy.known = event.known;
        failRequest(state, copy, StatusConflict, "this idempotency key was used before", effects);
        return;
    }
    // An earlier request with the same key may have run; only the key's home VM or the store could tell.
    copy.known = verdict::MayHaveRun;
    failRequest(state, copy, StatusUnavailable, "the idempotency key could not be claimed; nothing was sent now",
        effects);
}

/** Releases the slot that was granted to a request that no longer waits for it. */
static void releaseUnusedGrant(
    entry_state& state, const std::string& service, const acquire_answer& answer, entry_effects& effects)
{
    if (answer.reservation == 0)
        return;
    request_state ended;
    ended.service = service;
    ended.deadline = presentTime(state) + seconds(1);
    ended.reservation = answer.reservation;
    ended.endpoint = answer.endpoint;
    releaseReservation(state, ended, { 0, dispatch_outcome::CallerGone, false, false }, effects);
}

/** An entry VM of @p zone for a hop, by rendezvous hashing of the request id; null when the zone has none. */
static const vm_config* hopTarget(const entry_state& state, const std::string& zone, const request_state& request)
{
    const auto names = rankedVms(state, zone, stableHash(request.requestId));
    return names.empty() ? nullptr : &state.view.vms.at(names.front());
}

/** Sends the request to the endpoint or zone that the owner granted. */
static void dispatchRequest(
    entry_state& state, request_state& request, const acquire_answer& answer, entry_effects& effects)
{
    request.phase = request_phase::Dispatching;
    request.reservation = answer.reservation;
    request.endpoint = answer.endpoint;
    request.hop = answer.result == acquire_result::Hop;
    ++request.attempts;
    auto address = answer.address;
    if (request.hop) {
        const auto* target = hopTarget(state, answer.endpoint, request);
        if (!target) {
            onDispatchEnd(state, { request.id, dispatch_outcome::ConnectFailed, true, false }, effects);
            return;
        }
        ++state.counters.hops;
        address = target->http;
    }
    effects.push_back(dispatch { request.id, address, request.hop, request.deadline });
}

void applyAnswer(entry_state& state, const acquire_answer& answer, entry_effects& effects)
{
    const auto found = state.requests.find(answer.callId);
    if (found == state.requests.end() || found->second.phase != request_phase::Acquiring)
        return;
    auto& request = found->second;
    switch (answer.result) {
    case acquire_result::NotOwner:
        request.phase = request_phase::Seeking;
        return;
    case acquire_result::Shed: {
        const auto copy = request;
        failRequest(state, copy, StatusUnavailable, answer.reason, effects);
        return;
    }
    default:
        dispatchRequest(state, request, answer, effects);
    }
}

void onAcquireAnswer(entry_state& state, const acquire_answered& event, entry_effects& effects)
{
    const auto found = state.requests.find(event.answer.callId);
    const bool expected = found != state.requests.end() && found->second.phase == request_phase::Acquiring
        && found->second.slotOwnerVm == event.vm;
    if (!expected) {
        releaseUnusedGrant(state, event.service, event.answer, effects);
        return;
    }
    if (!event.reached) {
        found->second.phase = request_phase::Seeking;
        return;
    }
    applyAnswer(state, event.answer, effects);
}

/** HTTP status for the caller after a dispatch that is not retried. */
static unsigned statusFor(dispatch_outcome ended)
{
    switch (ended) {
    case dispatch_outcome::TimedOut:
        return StatusTimeout;
    case dispatch_outcome::Shed:
    case dispatch_outcome::ConnectFailed:
        return StatusUnavailable;
    default:
        return StatusBadGateway;
    }
}

void onDispatchEnd(entry_state& state, const dispatch_ended& event, entry_effects& effects)
{
    const auto found = state.requests.find(event.id);
    if (found == state.requests.end() || found->second.phase != request_phase::Dispatching)
        return;
    auto& request = found->second;
    recordDispatch(request, event.ended);
    releaseReservation(state, request, event, effects);
    if (event.ended == dispatch_outcome::Whole || event.ended == dispatch_outcome::CallerGone) {
        ++(event.ended == dispatch_outcome::Whole ? state.counters.whole : state.counters.uncertain);
        if (event.ended == dispatch_outcome::Whole)
            countForObjective(state, request, true);
        settleClaim(state, request, request.known, effects);
        state.requests.erase(found);
        return;
    }
    // A hop that was shed reached no endpoint: a retry here adds no load, so it takes none of the retry budget.
    const bool shedHop = request.hop && event.ended == dispatch_outcome::Shed;
    const bool retryAllowed = mayRetry(request, event.ended, event.replayable, presentTime(state));
    if (retryAllowed && (shedHop || takeRetryToken(state.retries))) {
        ++state.counters.retries;
        requestSlot(state, request, effects);
        return;
    }
    const auto copy = request;
    failRequest(state, copy, statusFor(event.ended),
        "dispatch ended: " + std::string(nameOf(DispatchOutcomeNames, event.ended)), effects);
}

void onCallerLeft(entry_state& state, const caller_left& event, entry_effects&)
{
    const auto found = state.requests.find(event.id);
    if (found == state.requests.end() || found->second.phase == request_phase::Dispatching)
        return;
    const auto pool = state.pools.find(found->second.service);
    if (pool != state.pools.end()) {
        std::erase_if(
            pool->second.queue, [&](const acquire_request& waiting) { return waiting.callId == event.id; });
    }
    ++state.counters.refused;
    state.requests.erase(found);
}

void onReleaseAnswer(entry_state& state, const release_answered& event, entry_effects&)
{
    if (event.reached)
        state.pendingReleases.erase(event.reservation);
}

/** Sends releases that are due; drops those whose reservation has expired at the owner. */
static void retryReleases(entry_state& state, entry_effects& effects)
{
    const auto now = presentTime(state);
    std::erase_if(state.pendingReleases, [&](const auto& item) { return now >= item.second.expiresAt; });
    std::vector<std::uint64_t> ownedHere;
    for (auto& [id, pending] : state.pendingReleases) {
        if (now < pending.retryAt)
            continue;
        const auto& service = pending.release.service;
        const auto pool = state.pools.find(service);
        if (pool != state.pools.end() && pool->second.role == pool_role::Owner) {
            ownedHere.push_back(id);
            continue;
        }
        sendRelease(state, pending, effects);
    }
    for (const auto id : ownedHere) {
        const auto release = state.pendingReleases[id].release;
        state.pendingReleases.erase(id);
        onRelease(state, release, effects);
    }
}

/** Whether the owner that was asked for a slot is dead, so that no answer will come. */
static bool askedOwnerLost(const entry_state& state, const request_state& request)
{
    if (request.phase != request_phase::Acquiring || request.slotOwnerVm.empty())
        return false;
    const auto owner = state.members.peers.find(request.slotOwnerVm);
    return owner == state.members.peers.end() || !isAlive(state.members, owner->second);
}

/** Requests a slot again for requests whose pool had no known owner; fails those whose deadline has passed. */
static void retrySeeking(entry_state& state, entry_effects& effects)
{
    const auto now = presentTime(state);
    if (now < state.nextSeekAt)
        return;
    state.nextSeekAt = now + state.limits.seekInterval;
    std::vector<std::uint64_t> seeking;
    for (auto& [id, request] : state.requests) {
        if (askedOwnerLost(state, request))
            request.phase = request_phase::Seeking;
        if (request.phase == request_phase::Seeking)
            seeking.push_back(id);
    }
    for (const auto id : seeking) {
        const auto found = state.requests.find(id);
        if (found == state.requests.end() || found->second.phase != request_phase::Seeking)
            continue;
        auto& request = found->second;
        if (now < request.deadline) {
            requestSlot(state, request, effects);
            continue;
        }
        const auto copy = request;
        failRequest(state, copy, StatusTimeout, "no owner of the pool answered in time", effects);
    }
}

void retryPending(entry_state& state, entry_effects& effects)
{
    retryReleases(state, effects);
    retrySeeking(state, effects);
}

} // namespace lhub
