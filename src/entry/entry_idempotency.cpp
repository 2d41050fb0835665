/** @file entry_idempotency.cpp Idempotency keys of requests: claimed before the first dispatch, settled after the last. */
#include "entry/entry_internal.h"
#include "idempotency/idempotency_func.h"

namespace lhub {

/** IP:port of the home for peers; empty when the configuration does not name the VM. */
static std::string homeAddress(const entry_state& state, const home_key& home)
{
    const auto found = state.view.vms.find(home.vm);
    return found == state.view.vms.end() ? std::string() : found->second.peer;
}

/** Claims a key if its home is this start of this VM; otherwise the result is Unknown. */
static home_claim claimIfHome(
    entry_state& state, const std::string& key, const home_key& home, const std::string& requestId)
{
    if (home.vm != state.vm || home.incarnation != state.members.incarnation)
        return {};
    return claimAtHome(state.keys, key, home, requestId, presentTime(state));
}

void onKeyClaim(entry_state& state, const key_claim_arrived& event, entry_effects& effects)
{
    const auto home = parseHomeKey(event.key);
    const auto claim = home ? claimIfHome(state, event.key, *home, event.requestId) : home_claim {};
    effects.push_back(reply_key_claim { event.callId, claim.result, claim.known });
}

void onKeySettled(entry_state& state, const key_settled& event)
{
    settleAtHome(state.keys, event.key, event.requestId, event.known);
}

/** Identifies the claimant: unique to this request, because callers may repeat a request id. */
static std::string claimantId(const entry_state& state, const request_state& request)
{
    return state.vm + "-" + std::to_string(state.members.incarnation) + "-" + std::to_string(request.id);
}

void startClaim(entry_state& state, request_state& request, entry_effects& effects)
{
    request.phase = request_phase::Claiming;
    const auto home = parseHomeKey(request.key);
    if (!home) {
        effects.push_back(send_claim { request.id, request.service, request.key, claimantId(state, request) });
        return;
    }
    const auto address = homeAddress(state, *home);
    if (home->vm != state.vm && !address.empty()) {
        effects.push_back(send_key_claim { request.id, address, request.key, claimantId(state, request) });
        return;
    }
    const auto claim = claimIfHome(state, request.key, *home, claimantId(state, request));
    onClaim(state, { request.id, claim.result, 0, claim.known }, effects);
}

void settleClaim(entry_state& state, const request_state& request, verdict known, entry_effects& effects)
{
    if (!request.holdsKeyClaim)
        return;
    const auto home = parseHomeKey(request.key);
    if (!home) {
        if (known == verdict::NotRun)
            effects.push_back(send_unclaim { request.service, request.key, request.claimVersion });
        return;
    }
    if (home->vm == state.vm) {
        settleAtHome(state.keys, request.key, claimantId(state, request), known);
        return;
    }
    const auto address = homeAddress(state, *home);
    if (!address.empty())
        effects.push_back(send_key_settled { address, { request.key, claimantId(state, request), known } });
}

} // namespace lhub
