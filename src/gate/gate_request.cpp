/** @file gate_request.cpp The life of a request: placing, sending, retrying, answering. */
#include "gate/gate_internal.h"

#include "admit/admit_func.h"
#include "core/hash.h"
#include "limit/limit_func.h"
#include <algorithm>

namespace lhub {

/** Objects that a VM remembers for an endpoint; what endpoints remember is of that order. */
static constexpr std::size_t RecentKeys = 24;
/** Least and most time until a refused caller comes back. */
static constexpr milliseconds LeastRetryAfter { 100 };
static constexpr milliseconds MostRetryAfter { 1000 };
/** Retry-After while there is no configuration: about the time that reading it takes. */
static constexpr milliseconds StartingRetryAfter { 400 };
/** Time that an answer needs on its way back to the caller. */
static constexpr milliseconds WayBack { 10 };
/** Bound on attempts, failed connections included. */
static constexpr std::size_t MostAttempts = 5;

static void finish(gate_state& gate, std::uint64_t id, gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    for (auto& attempt : request.attempts) {
        if (attempt.open)
            effects.push_back(cancel_attempt { id, attempt.id });
    }
    const bool open = std::any_of(
        request.attempts.begin(), request.attempts.end(), [](const auto& attempt) { return attempt.open; });
    request.callerGone = true;
    if (!open)
        gate.requests.erase(id);
}

static void answer(gate_state& gate, time_point now, std::uint64_t id, unsigned status, milliseconds retryAfter,
    std::string_view reason, gate_effects& effects)
{
    const auto& request = gate.requests.at(id);
    effects.push_back(log_line { "answer",
        { { "id", request.callerId }, { "route", request.rules->name }, { "service", request.service },
            { "status", std::to_string(status) }, { "reason", std::string(reason) },
            { "retry_after_ms", std::to_string(retryAfter.count()) }, { "attempts", std::to_string(request.attempts.size()) },
            { "after_ms", std::to_string(elapsed(request.arrived, now).count()) },
            { "config", std::to_string(gate.configRevision) } } });
    effects.push_back(answer_request { id, status, retryAfter, reason });
    finish(gate, id, effects);
}

/**
 * When a refused caller should come back: when the room that is missing is expected, spread by the request's own hash
 * so that callers refused together do not return together, and not so late that its answer would be late.
 */
static milliseconds retryAfterFor(const gate_request& request, double waitMs, time_point now)
{
    const auto left = elapsed(now, request.deadline);
    const double spread = 1 + static_cast<double>(stableHash(request.callerId) % 100) / 100;
    const auto wanted = milliseconds(static_cast<std::int64_t>(waitMs * spread));
    return std::clamp(std::min(wanted, left / 3), LeastRetryAfter, MostRetryAfter);
}

/** Ends a request for which no further attempt is possible, with what is known of its execution. */
static void giveUp(gate_state& gate, time_point now, std::uint64_t id, double waitMs, std::string_view reason, gate_effects& effects)
{
    const auto& request = gate.requests.at(id);
    if (!request.mayHaveRun) {
        answer(gate, now, id, 503, retryAfterFor(request, waitMs, now), reason, effects);
        return;
    }
    answer(gate, now, id, now >= request.deadline ? 504 : 502, milliseconds(0), reason, effects);
}

/** Hands the request to the chosen endpoint. */
static void sendTo(gate_state& gate, time_point now, std::uint64_t id, const place_choice& choice, endpoint_state& endpoint,
    gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    attempt_state attempt;
    attempt.id = ++gate.lastAttempt;
    attempt.endpoint = endpoint.entry.id;
    attempt.sentAt = now;
    attempt.expectedMs = choice.expectedMs - choice.waitMs;
    attempt.waitMs = choice.waitMs;
    attempt.warm = choice.warm;
    request.attempts.push_back(attempt);
    ++request.reached;
    ++endpoint.inFlight;
    countEvent(gate.placed, now);
    if (choice.moved)
        countEvent(gate.moved, now);
    if (isCold(gate, endpoint, now))
        endpoint.warming.sent.push_back(now);
    auto& keys = endpoint.recentKeys;
    keys.erase(std::remove(keys.begin(), keys.end(), request.key), keys.end());
    keys.push_back(request.key);
    if (keys.size() > RecentKeys)
        keys.pop_front();
    effects.push_back(log_line { "send",
        { { "id", request.callerId }, { "route", request.rules->name }, { "endpoint", endpoint.entry.id }, { "zone", endpoint.entry.zone },
            { "attempt", std::to_string(request.attempts.size()) }, { "warm", choice.warm ? "yes" : "no" }, { "moved", choice.moved ? "yes" : "no" },
            { "load", std::to_string(endpoint.inFlight - 1) + "+" + std::to_string(static_cast<int>(endpoint.othersLoad)) },
            { "load_age_ms", std::to_string(endpoint.reportedAt == time_point {} ? -1 : elapsed(endpoint.reportedAt, now).count()) },
            { "wait_ms", std::to_string(static_cast<int>(choice.waitMs)) }, { "expected_ms", std::to_string(static_cast<int>(choice.expectedMs)) },
            { "left_ms", std::to_string(elapsed(now, request.deadline).count()) },
            { "config", std::to_string(gate.configRevision) } } });
    effects.push_back(send_attempt { id, attempt.id, endpoint.entry.id, endpoint.entry.address, request.deadline,
        connectTimeTo(gate, endpoint.region),
        milliseconds(endpoint.region == gate.self.region ? 0 : static_cast<int>(FarMs)), request.rules->repeatable });
    effects.push_back(wake_request { id, std::min(overdueAt(gate, request, attempt), request.deadline) });
}

/** Whether a further attempt is allowed. Connections that failed reached nobody and draw on no budget. */
static bool mayTryAgain(gate_state& gate, const gate_request& request, time_point now)
{
    if (request.reached >= std::max(1U, request.rules->maxAttempts) || request.attempts.size() >= MostAttempts)
        return false;
    if (now + WayBack >= request.deadline)
        return false;
    if (request.reached == 0)
        return true;
    const auto vms = static_cast<std::uint32_t>(trustNow(gate, now).remembered);
    // Twice the VMs heard of lately: spare ones may join.
    return mayRetryWithin(gate.budgets[request.service], gate.self.retries, 2 * vms, now);
}

/** Places and sends the request, or refuses it. */
static void tryRequest(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    const auto list = candidatesFor(gate, request, now);
    const auto choice = placeFor(gate, request, list, now);
    if (!choice) {
        giveUp(gate, now, id, static_cast<double>(LeastRetryAfter.count()), "no endpoint can take it", effects);
        return;
    }
    const auto verdict = admitRequest({ choice->waitMs, choice->expectedMs, msOf(request.deadline - now - WayBack),
                                          std::max(0.0, msOf(request.arrived + request.rules->objective - now)), msOf(request.rules->objective) },
        gate.admission);
    if (verdict != admit_verdict::Send) {
        giveUp(gate, now, id, choice->waitMs, verdict == admit_verdict::Hopeless ? "cannot be served in time" : "the queue is too long", effects);
        return;
    }
    if (request.reached > 0)
        countEvent(gate.budgets[request.service].extras, now);
    sendTo(gate, now, id, *choice, *list.endpoints[choice->index], effects);
}

/** Answers a request that never became one: no configuration, or no route. */
static void reject(const request_seen& event, unsigned status, milliseconds retryAfter, std::string_view reason, gate_effects& effects)
{
    effects.push_back(log_line { "answer", { { "id", event.callerId }, { "host", event.host }, { "status", std::to_string(status) }, { "reason", std::string(reason) } } });
    effects.push_back(answer_request { event.id, status, retryAfter, reason });
}

void onRequest(gate_state& gate, time_point now, const request_seen& event, gate_effects& effects)
{
    if (!gate.routes || !gate.endpointsKnown) {
        reject(event, 503, StartingRetryAfter, "starting", effects);
        return;
    }
    const auto* rules = findRoute(*gate.routes, event.host, event.target);
    if (!rules) {
        reject(event, 404, milliseconds(0), "no route", effects);
        return;
    }
    gate_request request;
    request.table = gate.routes;
    request.rules = rules;
    request.service = nextTarget(gate.split, *rules);
    request.callerId = event.callerId;
    request.key = stableHash(rules->affinity && !event.object.empty() ? event.object : event.callerId, stableHash(request.service));
    request.arrived = now;
    const auto patience = event.patience.count() > 0 ? std::min(event.patience, rules->timeout) : rules->timeout;
    request.deadline = now + patience;
    countEvent(gate.budgets[request.service].requests, now);
    gate.requests.emplace(event.id, std::move(request));
    tryRequest(gate, now, event.id, effects);
}

/** Whether an answer is relayed as it is; otherwise the request goes on elsewhere. */
static bool isFinal(gate_state& gate, const gate_request& request, const attempt_seen& event, time_point now)
{
    if (event.outcome != dispatch_outcome::Whole)
        return false;
    return event.status < 500 || !request.rules->repeatable || !mayTryAgain(gate, request, now);
}

void onAttempt(gate_state& gate, time_point now, const attempt_seen& event, gate_effects& effects)
{
    const auto found = gate.requests.find(event.request);
    if (found == gate.requests.end())
        return;
    auto& request = found->second;
    const auto at = std::find_if(request.attempts.begin(), request.attempts.end(),
        [&](const attempt_state& attempt) { return attempt.id == event.attempt; });
    if (at == request.attempts.end() || !at->open)
        return;
    at->open = false;
    at->forgotten = event.forgotten;
    if (event.outcome == dispatch_outcome::ConnectFailed)
        --request.reached;
    noteEndpoint(gate, request, *at, event, now, effects);
    if (verdictOf(event.outcome) != verdict::NotRun)
        request.mayHaveRun = true;
    const bool othersOpen = std::any_of(
        request.attempts.begin(), request.attempts.end(), [](const auto& attempt) { return attempt.open; });
    if (event.outcome != dispatch_outcome::Whole || event.status >= 500)
        effects.push_back(log_line { "attempt", { { "id", request.callerId }, { "endpoint", at->endpoint }, { "outcome", std::string(nameOf(DispatchOutcomeNames, event.outcome)) }, { "status", std::to_string(event.status) }, { "reason", event.reason }, { "after_ms", std::to_string(elapsed(at->sentAt, now).count()) } } });
    if (request.callerGone) {
        if (!othersOpen)
            gate.requests.erase(found);
        return;
    }
    if (isFinal(gate, request, event, now)) {
        effects.push_back(relay_answer { event.request, event.attempt });
        finish(gate, event.request, effects);
        return;
    }
    if (othersOpen)
        return;
    const bool notRun = verdictOf(event.outcome) == verdict::NotRun;
    if ((notRun || request.rules->repeatable) && mayTryAgain(gate, request, now)) {
        tryRequest(gate, now, event.request, effects);
        return;
    }
    giveUp(gate, now, event.request, timesOf(gate, *request.rules).warmMs, notRun ? "endpoint refused it" : "no whole answer", effects);
}

/** Sends a second attempt beside an overdue one. */
static void hedge(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    request.hedged = true;
    if (!mayTryAgain(gate, request, now))
        return;
    const auto list = candidatesFor(gate, request, now);
    const auto choice = placeFor(gate, request, list, now);
    if (!choice || choice->waitMs > 0 || choice->moved || choice->expectedMs > msOf(request.deadline - now - WayBack))
        return;
    countEvent(gate.budgets[request.service].extras, now);
    sendTo(gate, now, id, *choice, *list.endpoints[choice->index], effects);
}

void onWake(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects)
{
    const auto found = gate.requests.find(id);
    if (found == gate.requests.end() || found->second.callerGone)
        return;
    auto& request = found->second;
    noteOverdue(gate, request, now, effects);
    if (now < request.deadline) {
        effects.push_back(wake_request { id, request.deadline });
        if (!request.hedged && request.rules->repeatable)
            hedge(gate, now, id, effects);
        return;
    }
    for (const auto& attempt : request.attempts)
        request.mayHaveRun = request.mayHaveRun || attempt.open;
    giveUp(gate, now, id, 0, "deadline", effects);
}

void onCallerGone(gate_state& gate, std::uint64_t id, gate_effects& effects)
{
    const auto found = gate.requests.find(id);
    if (found == gate.requests.end() || found->second.callerGone)
        return;
    auto& request = found->second;
    effects.push_back(log_line { "caller_gone", { { "id", request.callerId }, { "attempts", std::to_string(request.attempts.size()) } } });
    if (request.rules->repeatable) {
        finish(gate, id, effects);
        return;
    }
    request.callerGone = true; // The work may not be repeated: it ends by itself.
}

} // namespace lhub
