/** @file pool.cpp Admission to the slots of a pool. */
#include "pool/pool_func.h"

#include <algorithm>

namespace lhub {

/** Whether the endpoint may get requests at all. */
static bool mayServe(const pool_endpoint& endpoint, time_point now)
{
    return !endpoint.drained && !endpoint.leaving && now >= endpoint.ejectedUntil;
}

/** Slots that a dead owner may still have given away. */
static std::uint32_t unknownSlots(const pool_endpoint& endpoint, time_point now)
{
    return now < endpoint.unknownUntil ? endpoint.unknown : 0;
}

/** Slots of an endpoint that is warming up: one at first, all at the end. */
static std::uint32_t warmSlots(const pool_state& pool, const pool_endpoint& endpoint, time_point now)
{
    if (endpoint.cold || endpoint.slots <= 1)
        return std::min<std::uint32_t>(1, endpoint.slots);
    const auto warm = elapsed(endpoint.warmFrom, now);
    if (warm >= pool.limits.warmUp)
        return endpoint.slots;
    const auto gained = (endpoint.slots - 1) * warm.count() / pool.limits.warmUp.count();
    return 1 + static_cast<std::uint32_t>(gained);
}

/** Slots that are free for a new request. */
static std::uint32_t freeSlots(const pool_state& pool, const pool_endpoint& endpoint, time_point now)
{
    const auto taken = endpoint.inflight + unknownSlots(endpoint, now);
    const auto all = warmSlots(pool, endpoint, now);
    return taken >= all ? 0 : all - taken;
}

std::uint32_t usableSlots(const pool_state& pool, time_point now)
{
    std::uint32_t usable = 0;
    for (const auto& [name, endpoint] : pool.endpoints) {
        if (mayServe(endpoint, now))
            usable += endpoint.slots - std::min(endpoint.slots, unknownSlots(endpoint, now));
    }
    return usable;
}

std::uint32_t slotsLent(const pool_state& pool, time_point now)
{
    std::uint32_t total = 0;
    for (const auto& [zone, lent] : pool.lent)
        total += std::max(lent.inUse, lentTo(lent, now));
    return total;
}

std::string chooseEndpoint(const pool_state& pool, const std::vector<std::string>& avoid, time_point now)
{
    const std::string* best = nullptr;
    const pool_endpoint* chosen = nullptr;
    for (const auto& [name, endpoint] : pool.endpoints) {
        if (!mayServe(endpoint, now) || freeSlots(pool, endpoint, now) == 0)
            continue;
        if (std::find(avoid.begin(), avoid.end(), name) != avoid.end())
            continue;
        const auto load = std::uint64_t(endpoint.inflight) * (chosen ? chosen->slots : 1);
        const auto least = chosen ? std::uint64_t(chosen->inflight) * endpoint.slots : UINT64_MAX;
        if (load > least || (load == least && endpoint.lastGrant > chosen->lastGrant))
            continue;
        best = &name;
        chosen = &endpoint;
    }
    return best ? *best : std::string();
}

/** Whether a request of this source may take one more slot, whatever endpoint has one. */
static bool mayEnter(const pool_state& pool, const acquire_request& request, time_point now)
{
    if (!request.sourceZone.empty()) {
        const auto lent = pool.lent.find(request.sourceZone);
        return lent != pool.lent.end() && lent->second.inUse < lentTo(lent->second, now);
    }
    return pool.localInflight + slotsLent(pool, now) < usableSlots(pool, now);
}

/** Gives the request a slot of @p name. */
static acquire_answer grantSlot(
    pool_state& pool, const acquire_request& request, const std::string& name, time_point now)
{
    constexpr unsigned EpochShift = 32;
    auto& endpoint = pool.endpoints[name];
    const auto id = (pool.epoch << EpochShift) + ++pool.lastReservation;
    if (endpoint.cold) {
        endpoint.cold = false;
        endpoint.warmFrom = now;
    }
    endpoint.lastGrant = id;
    restoreReservation(pool, id,
        { name, request.vm, request.deadline + pool.limits.lapseGuard, request.sourceZone, false });
    return { request.callId, acquire_result::Granted, name, endpoint.address, id, {} };
}

/** Grants the request a slot if it may have one now. */
static std::optional<acquire_answer> tryGrant(pool_state& pool, const acquire_request& request, time_point now)
{
    if (!mayEnter(pool, request, now))
        return std::nullopt;
    auto name = chooseEndpoint(pool, request.avoid, now);
    if (name.empty() && !request.avoid.empty())
        name = chooseEndpoint(pool, {}, now);
    if (name.empty())
        return std::nullopt;
    return grantSlot(pool, request, name, now);
}

static acquire_answer shedAnswer(const acquire_request& request, std::string reason)
{
    return { request.callId, acquire_result::Shed, {}, {}, 0, std::move(reason) };
}

/** Bound of the queue. Slots that a dead owner may have given away count: they will be free soon. */
static std::size_t longestQueue(const pool_state& pool, time_point now)
{
    std::size_t slots = 0;
    for (const auto& [name, endpoint] : pool.endpoints)
        slots += mayServe(endpoint, now) ? endpoint.slots : 0;
    return std::max<std::size_t>(pool.limits.smallestQueue, pool.limits.queuePerSlot * slots);
}

/** Most local requests in flight and waiting of late; what is lent to others leaves this much free. */
static void noteDemand(pool_state& pool)
{
    const double demand = pool.localInflight + static_cast<double>(pool.queue.size());
    pool.localDemand = std::max(pool.localDemand, demand);
}

void queueRequest(pool_state& pool, acquire_request request, time_point now, std::vector<acquire_answer>& answers)
{
    if (pool.queue.size() >= longestQueue(pool, now)) {
        if (pool.queue.back().weight >= request.weight) {
            answers.push_back(shedAnswer(request, "queue full"));
            return;
        }
        answers.push_back(shedAnswer(pool.queue.back(), "queue full, a heavier request came"));
        pool.queue.pop_back();
    }
    const auto behind = std::find_if(pool.queue.begin(), pool.queue.end(),
        [&](const acquire_request& waiting) { return waiting.weight < request.weight; });
    pool.queue.insert(behind, std::move(request));
    noteDemand(pool);
}

void acquireSlot(pool_state& pool, acquire_request request, time_point now, std::vector<acquire_answer>& answers)
{
    if (now >= request.deadline) {
        answers.push_back(shedAnswer(request, "deadline passed"));
        return;
    }
    if (pool.queue.empty() || pool.queue.back().weight < request.weight || !request.sourceZone.empty()) {
        if (auto granted = tryGrant(pool, request, now)) {
            answers.push_back(std::move(*granted));
            noteDemand(pool);
            return;
        }
    }
    if (!request.sourceZone.empty()) {
        answers.push_back(shedAnswer(request, "no credit"));
        return;
    }
    if (usableSlots(pool, now) == 0 && !request.mayMove) {
        answers.push_back(shedAnswer(request, "no endpoint may serve"));
        return;
    }
    queueRequest(pool, std::move(request), now, answers);
}

/** Takes back reservations whose holder has let them lapse. */
static void lapseReservations(pool_state& pool, time_point now)
{
    std::vector<std::uint64_t> lapsed;
    for (const auto& [id, held] : pool.reservations) {
        if (now >= held.lapses)
            lapsed.push_back(id);
    }
    for (const auto id : lapsed)
        releaseSlot(pool, id);
}

void servePool(pool_state& pool, time_point now, std::vector<acquire_answer>& answers)
{
    lapseReservations(pool, now);
    std::deque<acquire_request> waiting;
    waiting.swap(pool.queue);
    bool full = false;
    for (auto& request : waiting) {
        if (now >= request.deadline) {
            answers.push_back(shedAnswer(request, "deadline passed while waiting"));
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

void clearQueue(pool_state& pool, acquire_result result, std::vector<acquire_answer>& answers)
{
    for (const auto& request : pool.queue)
        answers.push_back({ request.callId, result, {}, {}, 0, "the pool changed its owner" });
    pool.queue.clear();
}

void restoreReservation(pool_state& pool, std::uint64_t id, const reservation& held)
{
    if (!pool.reservations.emplace(id, held).second)
        return;
    if (held.hop) {
        ++pool.held[held.endpoint].inUse;
        return;
    }
    const auto endpoint = pool.endpoints.find(held.endpoint);
    if (endpoint != pool.endpoints.end())
        ++endpoint->second.inflight;
    if (held.sourceZone.empty())
        ++pool.localInflight;
    else
        ++pool.lent[held.sourceZone].inUse;
}

static void decrease(std::uint32_t& count)
{
    if (count > 0)
        --count;
}

void releaseSlot(pool_state& pool, std::uint64_t id)
{
    const auto found = pool.reservations.find(id);
    if (found == pool.reservations.end())
        return;
    const auto held = found->second;
    pool.reservations.erase(found);
    if (held.hop) {
        decrease(pool.held[held.endpoint].inUse);
        return;
    }
    const auto endpoint = pool.endpoints.find(held.endpoint);
    if (endpoint != pool.endpoints.end())
        decrease(endpoint->second.inflight);
    if (held.sourceZone.empty())
        decrease(pool.localInflight);
    else
        decrease(pool.lent[held.sourceZone].inUse);
}

} // namespace lhub
