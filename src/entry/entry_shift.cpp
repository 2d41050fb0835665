/** @file entry_shift.cpp Loans of a shift's rate cap between the zones that share it. */
#include "entry/entry_internal.h"
#include "shift/shift_func.h"

namespace lhub {

/** The shift, if this VM owns the pool of its service and may admit; null otherwise. */
static shift_progress* ownedShift(entry_state& state, const std::string& service, const std::string& name)
{
    const auto pool = state.pools.find(service);
    if (pool == state.pools.end() || pool->second.role != pool_role::Owner || !mayAdmit(state.members))
        return nullptr;
    const auto shift = state.shifts[service].find(name);
    return shift == state.shifts[service].end() ? nullptr : &shift->second;
}

void onLend(entry_state& state, const lend_arrived& event, entry_effects& effects)
{
    auto* shift = ownedShift(state, event.service, event.shift);
    if (!shift) {
        effects.push_back(reply_lend { event.callId, event.shift, false, 0, milliseconds(0) });
        return;
    }
    const auto granted = lendShare(*shift, event.zone, event.wanted, event.capPerSecond, presentTime(state));
    effects.push_back(reply_lend { event.callId, event.shift, true, granted, shift->limits.loanLifetime });
}

void onLendAnswer(entry_state& state, const lend_answered& event)
{
    auto* shift = ownedShift(state, event.service, event.shift);
    if (!shift)
        return;
    if (!event.owner) {
        ++state.contactTurn[event.service + "/" + event.zone];
        ++shift->heldBack;
        return;
    }
    const share_loan loan { event.granted, event.sentAt + event.valid };
    recordLoan(*shift, event.zone, loan, event.capPerSecond, event.sentAt);
}

/** Requests a loan from every other zone of a shift. */
static void requestLoans(entry_state& state, shift_progress& shift, std::uint32_t wanted, entry_effects& effects)
{
    const auto& config = shift.config;
    for (const auto& zone : config.zones) {
        const auto* target = zone == state.zone ? nullptr : zoneContact(state, config.service, zone);
        if (!target)
            continue;
        lend_arrived request { 0, config.service, config.name, state.zone, wanted, config.capPerSecond };
        effects.push_back(send_lend { target->peer, std::move(request), zone });
    }
}

void maintainLoans(entry_state& state, entry_effects& effects)
{
    for (auto& [service, shifts] : state.shifts) {
        const auto pool = state.pools.find(service);
        if (pool == state.pools.end() || pool->second.role != pool_role::Owner)
            continue;
        for (auto& [name, shift] : shifts) {
            if (const auto wanted = nextLoanRequest(shift, presentTime(state)))
                requestLoans(state, shift, *wanted, effects);
        }
    }
}

} // namespace lhub
