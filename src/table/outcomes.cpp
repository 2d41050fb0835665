/** @file outcomes.cpp Table of the outcomes that a trace may state, each with its check. */
#include "replay/outcomes.h"

#include "config/config_func.h"
#include "member/member_func.h"
#include "pool/pool_func.h"
#include "request/request_func.h"
#include "shift/shift_func.h"

namespace lhub {

/** Calls @p each for every effect of one type. */
template <typename T, typename F>
static void forEach(const entry_effects& effects, F each)
{
    for (const auto& effect : effects) {
        if (const auto* found = std::get_if<T>(&effect))
            each(*found);
    }
}

/** No endpoint has more reservations than slots. */
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

/** What is lent to other zones leaves the reserve of the configured slots free. */
static std::string checkCredits(const replay_step& step, replay_memory&)
{
    constexpr std::uint32_t WholePercent = 100;
    for (const auto& [service, pool] : step.after.pools) {
        std::uint32_t slots = 0;
        for (const auto& [name, endpoint] : pool.endpoints)
            slots += endpoint.slots;
        std::uint32_t lent = 0;
        for (const auto& [zone, credit] : pool.lent)
            lent += lentTo(credit, step.timed.now);
        const auto reserve = (slots * pool.limits.reservePercent + WholePercent - 1) / WholePercent;
        if (lent > 0 && lent + reserve > slots)
            return service + " has lent " + std::to_string(lent) + " of " + std::to_string(slots);
    }
    return {};
}

/** This zone's part of all caps in force, from the configuration alone. */
static std::uint64_t zoneCap(const entry_state& state)
{
    std::uint64_t cap = 0;
    for (const auto& [name, shift] : state.view.shifts)
        cap += shareOf(shift, state.zone);
    return cap;
}

/** Takes note of loans, from the messages alone. */
static void noteLoans(const replay_step& step, replay_memory& memory)
{
    if (const auto* borrowed = std::get_if<lend_answered>(&step.timed.event)) {
        if (borrowed->owner && borrowed->granted > 0)
            memory.borrowed.push_back({ borrowed->granted, borrowed->sentAt + borrowed->valid, borrowed->zone });
    }
    std::erase_if(memory.borrowed, [&](const loan_seen& loan) { return step.timed.now >= loan.lapses + seconds(1); });
}

/** The most that loans which still count in this second allow: of several from one zone the highest. */
static std::uint64_t borrowedNow(const replay_memory& memory)
{
    std::map<std::string, std::uint64_t> highest;
    for (const auto& loan : memory.borrowed)
        highest[loan.zone] = std::max<std::uint64_t>(highest[loan.zone], loan.perSecond);
    std::uint64_t total = 0;
    for (const auto& [zone, amount] : highest)
        total += amount;
    return total;
}

/** What this zone has lent never exceeds its share, and what it moves beside it neither. */
static std::uint64_t lentNow(const replay_step& step)
{
    std::uint64_t total = 0;
    for (const auto& [service, shifts] : step.after.shifts) {
        for (const auto& [name, shift] : shifts) {
            for (const auto& [zone, loans] : shift.lent) {
                std::uint32_t highest = 0;
                for (const auto& loan : loans)
                    highest = step.timed.now < loan.lapses ? std::max(highest, loan.perSecond) : highest;
                total += highest;
            }
        }
    }
    return total;
}

/** No second holds more moves than this zone's part of the caps, less what it lent and plus what it borrowed. */
static std::string checkCap(const replay_step& step, replay_memory& memory)
{
    constexpr seconds Window { 1 };
    const auto moved = step.after.counters.moved;
    if (moved > memory.moved)
        memory.moves.emplace_back(step.timed.now, moved - memory.moved);
    memory.moved = moved;
    while (!memory.moves.empty() && step.timed.now - memory.moves.front().first >= Window)
        memory.moves.pop_front();
    std::uint64_t inside = 0;
    for (const auto& [at, count] : memory.moves)
        inside += count;
    noteLoans(step, memory);
    const auto share = std::max(zoneCap(step.before), zoneCap(step.after));
    const auto lent = lentNow(step);
    if (lent > share)
        return "lent " + std::to_string(lent) + " of a share of " + std::to_string(share);
    const auto cap = share - lent + borrowedNow(memory);
    return inside > cap ? std::to_string(inside) + " moved in a second, cap " + std::to_string(cap) : std::string();
}

/** A refusal as not_run is true, by what the dispatches themselves said. */
static std::string checkNotRun(const replay_step& step, replay_memory& memory)
{
    std::string wrong;
    if (const auto* ended = std::get_if<dispatch_ended>(&step.timed.event)) {
        if (memory.open.erase(ended->id) > 0)
            memory.known[ended->id] = worse(memory.known[ended->id], verdictOf(ended->ended));
    }
    forEach<answer_caller>(step.effects, [&](const answer_caller& answer) {
        const auto said = memory.open.count(answer.id) > 0 ? verdict::MayHaveRun : memory.known[answer.id];
        if (answer.known == verdict::NotRun && said != verdict::NotRun)
            wrong = "request " + std::to_string(answer.id) + " was answered not_run but may have run";
    });
    forEach<dispatch>(step.effects, [&](const dispatch& sent) { memory.open.insert(sent.id); });
    return wrong;
}

/** A request that may not be repeated is never dispatched again once it may have run. */
static std::string checkOnce(const replay_step& step, replay_memory& memory)
{
    std::string wrong;
    if (const auto* arrived = std::get_if<request_arrived>(&step.timed.event))
        memory.methods[arrived->request.id] = arrived->request.method;
    if (const auto* ended = std::get_if<dispatch_ended>(&step.timed.event))
        memory.known[ended->id] = worse(memory.known[ended->id], verdictOf(ended->ended));
    forEach<dispatch>(step.effects, [&](const dispatch& sent) {
        if (!isIdempotent(memory.methods[sent.id]) && memory.known[sent.id] != verdict::NotRun)
            wrong = "request " + std::to_string(sent.id) + " was dispatched again";
    });
    return wrong;
}

/** No version of an object ever falls. */
static std::string checkVersions(const replay_step& step, replay_memory& memory)
{
    for (const auto& [key, object] : step.after.config.objects) {
        auto& highest = memory.versions[key];
        if (object.version < highest)
            return key + " fell to version " + std::to_string(object.version);
        highest = object.version;
    }
    return {};
}

/** No slot of a leaving or drained endpoint is given away. */
static std::string checkLeaving(const replay_step& step, replay_memory&)
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

/** Nothing is granted by a VM whose lease has lapsed or which owns nothing. */
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
        { "unrepeatable_ran_at_most_once", checkOnce },
        { "versions_never_fall", checkVersions },
        { "no_work_to_leaving_endpoints", checkLeaving },
        { "no_grant_without_lease", checkLease },
    };
    return Table;
}

} // namespace lhub
