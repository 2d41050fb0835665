/** @file pool.cpp Admission of requests to the slots of a pool: grants, queue, reservations. */
#include "pool/pool_func.h"

#include <algorithm>

namespace lhub {

/** Whether the endpoint may get requests at all. */
static bool mayServe(const pool_endpoint& endpoint, time_point now)
{
    return !endpoint.drained && !endpoint.leaving && now >= endpoint.ejectedUntil;
}

/** Slots that an earlier owner may have granted and that this owner does not know of. */
static std::uint32_t unaccountedSlots(const pool_endpoint& endpoint, time_point now)
{
    return now < endpoint.unaccountedUntil ? endpoint.unaccounted : 0;
}

/** Slots that the warm-up leaves open: one for a cold endpoint, then more in proportion to time, all after warmUpTime. */
static std::uint32_t warmedUpSlots(const pool_state& pool, const pool_endpoint& endpoint, time_point now)
{
    if (endpoint.cold || endpoint.slots <= 1)
        return std::min<std::uint32_t>(1, endpoint.slots);
    const auto warmFor = elapsed(endpoint.warmUpStart, now);
    if (warmFor >= pool.limits.warmUpTime)
        return endpoint.slots;
    const auto opened = (endpoint.slots - 1) * warmFor.count() / pool.limits.warmUpTime.count();
    return 1 + static_cast<std::uint32_t>(opened);
}

/** Open slots that are neither reserved nor unaccounted. */
static std::uint32_t freeSlots(const pool_state& pool, const pool_endpoint& endpoint, time_point now)
{
    const auto taken = endpoint.inflight + unaccountedSlots(endpoint, now);
    const auto open = warmedUpSlots(pool, endpoint, now);
    return taken >= open ? 0 : open - taken;
}

std::uint32_t usableSlots(const pool_state& pool, time_point now)
{
    std::uint32_t usable = 0;
    for (const auto& [name, endpoint] : pool.endpoints) {
        if (mayServe(endpoint, now))
            usable += endpoint.slots - std::min(endpoint.slots, unaccountedSlots(endpoint, now));
    }
    return usable;
}

std::uint32_t slotsLent(const pool_state& pool, time_point now)
{
    std::uint32_t total = 0;
    for (const auto& [zone, lent] : pool.creditsLent)
        total += std::max(lent.inUse, unexpiredCredit(lent, now));
    return total;
}

std::string chooseEndpoint(const pool_state& pool, const std::vector<std::string>& avoid, time_point now)
{
    const std::string* chosenName = nullptr;
    const pool_endpoint* chosen = nullptr;
    for (const auto& [name, endpoint] : pool.endpoints) {
        if (!mayServe(endpoint, now) || freeSlots(pool, endpoint, now) == 0)
            continue;
        if (std::find(avoid.begin(), avoid.end(), name) != avoid.end())
            continue;
        // inflight / slots of both endpoints, compared by cross-multiplication.
        const auto load = std::uint64_t(endpoint.inflight) * (chosen ? chosen->slots : 1);
        const auto lowest = chosen ? std::uint64_t(chosen->inflight) * endpoint.slots : UINT64_MAX;
        if (load > lowest || (load == lowest && endpoint.lastReservationId > chosen->lastReservationId))
            continue;
        chosenName = &name;
        chosen = &endpoint;
    }
    return chosenName ? *chosenName : std::string();
}

/**
 * Whether the source of the request may take one more slot of the pool: another zone up to the credit lent to it, this
 * zone up to the usable slots minus those set aside for credits.
 */
static bool sourceHasCapacity(const pool_state& pool, const acquire_request& request, time_point now)
{
    if (!request.sourceZone.empty()) {
        const auto lent = pool.creditsLent.find(request.sourceZone);
        return lent != pool.creditsLent.end() && lent->second.inUse < unexpiredCredit(lent->second, now);
    }
    return pool.localInflight + slotsLent(pool, now) < usableSlots(pool, now);
}

/** Grants the request a slot of the endpoint @p name. */
static acquire_answer grantSlot(
    pool_state& pool, const acquire_request& request, const std::string& name, time_point now)
{
    constexpr unsigned EpochShift = 32;
    auto& endpoint = pool.endpoints[name];
    const auto id = (pool.epoch << EpochShift) + ++pool.lastReservation;
    if (endpoint.cold) {
        endpoint.cold = false;
        endpoint.warmUpStart = now;
    }
    endpoint.lastReservationId = id;
    addReservation(pool, id,
        { name, request.vm, request.deadline + pool.limits.expiryGrace, request.sourceZone, false });
    return { request.callId, acquire_result::Granted, name, endpoint.address, id, {} };
}

/** Grants the request a slot, of an endpoint that it has already tried if no other has one. */
static std::optional<acquire_answer> tryGrant(pool_state& pool, const acquire_request& request, time_point now)
{
    if (!sourceHasCapacity(pool, request, now))
        return std::nullopt;
    auto name = chooseEndpoint(pool, request.avoid, now);
    if (name.empty() && !request.avoid.empty())
        name = chooseEndpoint(pool, {}, now);
    if (name.empty())
        return std::nullopt;
    return grantSlot(pool, request, name, now);
}

static acquire_answer makeShedAnswer(const acquire_request& request, std::string reason)
{
    return { request.callId, acquire_result::Shed, {}, {}, 0, std::move(reason) };
}

/** Capacity of the queue. Unaccounted slots count: they will be free soon. */
static std::size_t queueCapacity(const pool_state& pool, time_point now)
{
    std::size_t slots = 0;
    for (const auto& [name, endpoint] : pool.endpoints)
        slots += mayServe(endpoint, now) ? endpoint.slots : 0;
    return std::max<std::size_t>(pool.limits.minQueueCapacity, pool.limits.maxQueuedPerSlot * slots);
}

/** Raises the recent peak of local demand, which is never lent to other zones. */
static void updateDemandPeak(pool_state& pool)
{
    const double demand = pool.localInflight + static_cast<double>(pool.queue.size());
    pool.localDemandPeak = std::max(pool.localDemandPeak, demand);
}

void enqueueRequest(pool_state& pool, acquire_request request, time_point now, std::vector<acquire_answer>& answers)
{
    if (pool.queue.size() >= queueCapacity(pool, now)) {
        if (pool.queue.back().weight >= request.weight) {
            answers.push_back(makeShedAnswer(request, "queue full"));
            return;
        }
        answers.push_back(makeShedAnswer(pool.queue.back(), "queue full, a heavier request came"));
        pool.queue.pop_back();
    }
    const auto position = std::find_if(pool.queue.begin(), pool.queue.end(),
        [&](const acquire_request& waiting) { return waiting.weight < request.weight; });
    pool.queue.insert(position, std::move(request));
    updateDemandPeak(pool);
}

void acquireSlot(pool_state& pool, acquire_request request, time_point now, std::vector<acquire_answer>& answers)
{
    if (now >= request.deadline) {
        answers.push_back(makeShedAnswer(request, "deadline passed"));
        return;
    }
    if (pool.queue.empty() || pool.queue.back().weight < request.weight || !request.sourceZone.empty()) {
        if (auto granted = tryGrant(pool, request, now)) {
            answers.push_back(std::move(*granted));
            updateDemandPeak(pool);
            return;
        }
    }
    if (!request.sourceZone.empty()) {
        answers.push_back(makeShedAnswer(request, "no credit"));
        return;
    }
    if (usableSlots(pool, now) == 0 && !request.mayMove) {
        answers.push_back(makeShedAnswer(request, "no endpoint may serve"));
        return;
    }
    enqueueRequest(pool, std::move(request), now, answers);
}

/** Releases reservations whose holder sent no release in time. */
static void expireReservations(pool_state& pool, time_point now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, reserved] : pool.reservations) {
        if (now >= reserved.expiresAt)
            expired.push_back(id);
    }
    for (const auto id : expired)
        releaseSlot(pool, id);
}

void serveQueue(pool_state& pool, time_point now, std::vector<acquire_answer>& answers)
{
    expireReservations(pool, now);
    std::deque<acquire_request> waiting;
    waiting.swap(pool.queue);
    bool full = false;
    for (auto& request : waiting) {
        if (now >= request.deadline) {
            answers.push_back(makeShedAnswer(request, "deadline passed while waiting"));
            continue;
        }
        if (!full) {
            if (auto granted = tryGrant(pool, request, now)) {
                answers.push_back(std::move(*granted));
                continue;
            }
            full = true;
        }
        pool.queue.push_back(std::move(request));
    }
}

void flushQueue(pool_state& pool, acquire_result result, std::vector<acquire_answer>& answers)
{
    for (const auto& request : pool.queue)
        answers.push_back({ request.callId, result, {}, {}, 0, "the pool changed its owner" });
    pool.queue.clear();
}

void addReservation(pool_state& pool, std::uint64_t id, const reservation& reserved)
{
    if (!pool.reservations.emplace(id, reserved).second)
        return;
    if (reserved.hop) {
        ++pool.creditsHeld[reserved.endpoint].inUse;
        return;
    }
    const auto endpoint = pool.endpoints.find(reserved.endpoint);
    if (endpoint != pool.endpoints.end())
        ++endpoint->second.inflight;
    if (reserved.sourceZone.empty())
        ++pool.localInflight;
    else
        ++pool.creditsLent[reserved.sourceZone].inUse;
}

static void decrement(std::uint32_t& count)
{
    if (count > 0)
        --count;
}

void releaseSlot(pool_state& pool, std::uint64_t id)
{
    const auto found = pool.reservations.find(id);
    if (found == pool.reservations.end())
        return;
    const auto reserved = found->second;
    pool.reservations.erase(found);
    if (reserved.hop) {
        decrement(pool.creditsHeld[reserved.endpoint].inUse);
        return;
    }
    const auto endpoint = pool.endpoints.find(reserved.endpoint);
    if (endpoint != pool.endpoints.end())
        decrement(endpoint->second.inflight);
    if (reserved.sourceZone.empty())
        decrement(pool.localInflight);
    else
        decrement(pool.creditsLent[reserved.sourceZone].inUse);
}

} // namespace lhub
