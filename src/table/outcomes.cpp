/** @file outcomes.cpp The outcomes that the header of a trace may state, each with the check that a replay runs. */
#include "replay/outcomes.h"

#include "config/config_func.h"
#include "member/member_func.h"
#include "pool/pool_func.h"
#include "request/request_func.h"
#include "shift/shift_func.h"

namespace lhub {

/** Calls @p handle for each effect of type T. */
template <typename T, typename F>
static void forEach(const entry_effects& effects, F handle)
{
    for (const auto& effect : effects) {
        if (const auto* found = std::get_if<T>(&effect))
            handle(*found);
    }
}

/** No endpoint has more requests in flight than slots. */
static std::string checkSlots(const replay_step& step, replay_memory&)
{
    for (const auto& [service, pool] : step.after.pools) {
        for (const auto& [name, endpoint] : pool.endpoints) {
            if (endpoint.inflight > endpoint.slots)
                return std::string(service).append("/").append(name).append(" has too many requests");
        }
    }
    return {};
}

/** Credits lent to other zones leave at least the reserved share of the slots to this zone. */
static std::string checkCredits(const replay_step& step, replay_memory&)
{
    constexpr std::uint32_t WholePercent = 100;
    for (const auto& [service, pool] : step.after.pools) {
        std::uint32_t slots = 0;
        for (const auto& [name, endpoint] : pool.endpoints)
            slots += endpoint.slots;
        std::uint32_t lent = 0;
        for (const auto& [zone, credit] : pool.creditsLent)
            lent += unexpiredCredit(credit, step.timed.now);
        const auto reserve = (slots * pool.limits.reservePercent + WholePercent - 1) / WholePercent;
        if (lent > 0 && lent + reserve > slots)
            return service + " has lent " + std::to_string(lent) + " of " + std::to_string(slots);
    }
    return {};
}

/** Sum of this zone's shares of the caps of all shifts, from the configuration alone. */
static std::uint64_t zoneShares(const entry_state& state)
{
    std::uint64_t sum = 0;
    for (const auto& [name, shift] : state.view.shifts)
        sum += zoneShare(shift, state.zone);
    return sum;
}

/** Records loans from other zones by the messages alone; drops them 1 s after they expire. */
static void recordLoans(const replay_step& step, replay_memory& memory)
{
    if (const auto* borrowed = std::get_if<lend_answered>(&step.timed.event)) {
        if (borrowed->owner && borrowed->granted > 0)
            memory.loans.push_back({ borrowed->granted, borrowed->sentAt + borrowed->valid, borrowed->zone });
    }
    std::erase_if(memory.loans, [&](const loan_seen& loan) { return step.timed.now >= loan.expiresAt + seconds(1); });
}

/** Moves a second that the recorded loans allow; of several loans from one zone the highest counts. */
static std::uint64_t borrowedPerSecond(const replay_memory& memory)
{
    std::map<std::string, std::uint64_t> highest;
    for (const auto& loan : memory.loans)
        highest[loan.zone] = std::max<std::uint64_t>(highest[loan.zone], loan.perSecond);
    std::uint64_t total = 0;
    for (const auto& [zone, amount] : highest)
        total += amount;
    return total;
}

/** Moves a second that this zone has lent to others; of several loans to one zone the highest counts. */
static std::uint64_t lentPerSecond(const replay_step& step)
{
    std::uint64_t total = 0;
    for (const auto& [service, shifts] : step.after.shifts) {
        for (const auto& [name, shift] : shifts) {
            for (const auto& [zone, loans] : shift.sharesLent) {
                std::uint32_t highest = 0;
                for (const auto& loan : loans)
                    highest = step.timed.now < loan.expiresAt ? std::max(highest, loan.perSecond) : highest;
                total += highest;
            }
        }
    }
    return total;
}

/**
 * No window of a second holds more moves than this zone's share of the caps, less what it lent and plus what it
 * borrowed; what it lent does not exceed its share.
 */
static std::string checkCap(const replay_step& step, replay_memory& memory)
{
    constexpr seconds Window { 1 };
    const auto moved = step.after.counters.moved;
    if (moved > memory.totalMoves)
        memory.recentMoves.emplace_back(step.timed.now, moved - memory.totalMoves);
    memory.totalMoves = moved;
    while (!memory.recentMoves.empty() && step.timed.now - memory.recentMoves.front().first >= Window)
        memory.recentMoves.pop_front();
    std::uint64_t inWindow = 0;
    for (const auto& [at, count] : memory.recentMoves)
        inWindow += count;
    recordLoans(step, memory);
    const auto share = std::max(zoneShares(step.before), zoneShares(step.after));
    const auto lent = lentPerSecond(step);
    if (lent > share)
        return "lent " + std::to_string(lent) + " of a share of " + std::to_string(share);
    const auto cap = share - lent + borrowedPerSecond(memory);
    return inWindow > cap ? std::to_string(inWindow) + " moved in a second, cap " + std::to_string(cap) : std::string();
}

/** A request that was refused as not_run did not run, by the outcomes of its dispatches. */
static std::string checkNotRun(const replay_step& step, replay_memory& memory)
{
    std::string wrong;
    if (const auto* ended = std::get_if<dispatch_ended>(&step.timed.event)) {
        if (memory.openRequests.erase(ended->id) > 0)
            memory.verdicts[ended->id] = combineVerdicts(memory.verdicts[ended->id], verdictOf(ended->ended));
    }
    forEach<answer_caller>(step.effects, [&](const answer_caller& answer) {
        const auto actual = memory.openRequests.count(answer.id) > 0 ? verdict::MayHaveRun : memory.verdicts[answer.id];
        if (answer.known == verdict::NotRun && actual != verdict::NotRun)
            wrong = "request " + std::to_string(answer.id) + " was answered not_run but may have run";
    });
    forEach<dispatch>(step.effects, [&](const dispatch& sent) { memory.openRequests.insert(sent.id); });
    return wrong;
}

/** A request that is not idempotent is not dispatched again once it may have run. */
static std::string checkNotRepeated(const replay_step& step, replay_memory& memory)
{
    std::string wrong;
    if (const auto* arrived = std::get_if<request_arrived>(&step.timed.event))
        memory.methods[arrived->request.id] = arrived->request.method;
    if (const auto* ended = std::get_if<dispatch_ended>(&step.timed.event))
        memory.verdicts[ended->id] = combineVerdicts(memory.verdicts[ended->id], verdictOf(ended->ended));
    forEach<dispatch>(step.effects, [&](const dispatch& sent) {
        if (!isIdempotent(memory.methods[sent.id]) && memory.verdicts[sent.id] != verdict::NotRun)
            wrong = "request " + std::to_string(sent.id) + " was dispatched again";
    });
    return wrong;
}

/** The version of an object never decreases. */
static std::string checkVersions(const replay_step& step, replay_memory& memory)
{
    for (const auto& [key, object] : step.after.config.objects) {
        auto& highest = memory.versions[key];
        if (object.version < highest)
            return key + " went back to version " + std::to_string(object.version);
        highest = object.version;
    }
    return {};
}

/** An owner makes no new reservation at an endpoint that is leaving or drained. */
static std::string checkLeavingEndpoints(const replay_step& step, replay_memory&)
{
    for (const auto& [service, pool] : step.after.pools) {
        const auto before = step.before.pools.find(service);
        if (before == step.before.pools.end() || pool.role != pool_role::Owner)
            continue;
        for (const auto& [id, held] : pool.reservations) {
            const auto endpoint = pool.endpoints.find(held.endpoint);
            const bool isNew = before->second.reservations.count(id) == 0 && before->second.role == pool_role::Owner;
            if (isNew && endpoint != pool.endpoints.end() && (endpoint->second.leaving || endpoint->second.drained))
                return std::string(service).append("/").append(held.endpoint).append(" is leaving and got a request");
        }
    }
    return {};
}

/** A VM grants no reservation when it does not own the pool or its lease has expired. */
static std::string checkLease(const replay_step& step, replay_memory&)
{
    for (const auto& [service, pool] : step.after.pools) {
        const auto before = step.before.pools.find(service);
        if (before == step.before.pools.end())
            continue;
        const bool granted = pool.epoch == before->second.epoch
            && pool.lastReservation > before->second.lastReservation;
        if (granted && (pool.role != pool_role::Owner || !mayAdmit(step.after.members)))
            return service + " granted a slot without its lease";
    }
    return {};
}

const std::vector<outcome_row>& outcomeRows()
{
    static const std::vector<outcome_row> Table {
        { "slots_never_exceeded", checkSlots },
        { "credits_leave_the_reserve", checkCredits },
        { "cap_never_exceeded", checkCap },
        { "not_run_did_not_run", checkNotRun },
        { "unrepeatable_ran_at_most_once", checkNotRepeated },
        { "versions_never_fall", checkVersions },
        { "no_work_to_leaving_endpoints", checkLeavingEndpoints },
        { "no_grant_without_lease", checkLease },
    };
    return Table;
}

} // namespace lhub
