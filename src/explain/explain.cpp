/** @file explain.cpp Sentences that explain how requests of a client are steered. */
#include "explain/explain_func.h"

#include "config/config_func.h"
#include "member/member_func.h"
#include "pool/pool_func.h"
#include "shift/shift_func.h"

namespace lhub {

/** "1 endpoint", "2 endpoints". */
static std::string formatCount(std::size_t count, const std::string& noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

static std::string explainChoices(const client_lookup_result& lookup)
{
    std::string text = "The caller is told to use ";
    for (std::size_t i = 0; i < lookup.choices.size(); ++i)
        text += (i == 0 ? "" : ", then ") + lookup.choices[i].vm;
    return text + ", and to ask again after " + formatCount(lookup.lifetimeSeconds, "second") + ".";
}

/** Sentence on the VM that assigns the slots of the zone's endpoints. */
static std::string explainOwner(const entry_state& state, const pool_state& pool)
{
    const auto* peer = announcedOwner(state.members, pool.service);
    std::string owner = peer ? peer->vm : "nobody at this moment";
    if (pool.role == pool_role::Owner)
        owner = state.vm;
    return "In zone " + state.zone + " one entry VM gives out the places at the endpoints of " + pool.service
        + ", so that none is given twice: " + owner + ".";
}

static std::string explainSlots(const entry_state& state, const pool_state& pool)
{
    std::size_t leaving = 0;
    for (const auto& [name, endpoint] : pool.endpoints)
        leaving += endpoint.drained || endpoint.leaving ? 1 : 0;
    auto text = "There are " + formatCount(pool.endpoints.size(), "endpoint") + " here with "
        + formatCount(usableSlots(pool, state.members.lastEventAt), "usable place") + ".";
    if (leaving > 0)
        text += " " + formatCount(leaving, "endpoint") + " of them gets no new requests, because it is leaving.";
    return text;
}

static std::string explainShift(const entry_state& state, const shift_config& shift)
{
    return "Shift " + shift.name + " (" + std::string(nameOf(ShiftStatusNames, shift.status)) + ") sends "
        + std::to_string(shift.permille) + " of 1000 requests from region " + shift.fromRegion + " to region "
        + shift.toRegion + ", at most " + std::to_string(shift.capPerSecond) + " a second in all and "
        + std::to_string(zoneShare(shift, state.zone)) + " from this zone.";
}

/** Sentence on what happens if no slot is free, with the zones whose credit has not expired. */
static std::string explainCredits(const entry_state& state, const pool_state& pool)
{
    std::string lenders;
    for (const auto& [zone, held] : pool.creditsHeld) {
        if (state.members.lastEventAt < held.expiresAt && held.amount > 0)
            lenders += (lenders.empty() ? "" : ", ") + zone + " (" + std::to_string(held.amount) + ")";
    }
    return "When no place is free, the request waits a little, or goes to a zone that has lent us places: "
        + (lenders.empty() ? std::string("none at this moment") : lenders)
        + ". When there is none, it is refused and did not run.";
}

std::vector<std::string> explainRequest(
    const entry_state& state, const client_lookup_result& lookup, const std::string& client, const std::string& service)
{
    std::vector<std::string> text;
    const auto region = regionOf(state.view, lookup.zone);
    text.push_back("Client " + client + " is nearest to zone " + lookup.zone
        + (region.empty() ? "." : " in region " + region + "."));
    text.push_back(explainChoices(lookup));
    const auto pool = state.pools.find(service);
    if (pool == state.pools.end()) {
        text.push_back("There is no service " + service + ".");
        return text;
    }
    if (lookup.zone != state.zone)
        text.push_back("This VM stands in zone " + state.zone + "; ask one of zone " + lookup.zone + " for its view.");
    text.push_back(explainOwner(state, pool->second));
    text.push_back(explainSlots(state, pool->second));
    if (isZoneDrained(state.view, state.zone))
        text.push_back("Zone " + state.zone + " is drained: everything goes to other zones.");
    for (const auto& [name, shift] : state.view.shifts) {
        if (shift.service == service && shift.fromRegion == state.region)
            text.push_back(explainShift(state, shift));
    }
    text.push_back(explainCredits(state, pool->second));
    text.push_back("The answer says whether the request ran: ran, not_run or may_have_run.");
    return text;
}

} // namespace lhub
