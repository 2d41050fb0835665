/** @file gate_request.cpp The life of a request: placing, sending, retrying, answering. */
#include "gate/gate_internal.h"

#include "core/hash.h"
#include "gossip/gossip_func.h"
#include "health/health_func.h"
#include "limit/limit_func.h"
#include "place/place_func.h"
#include <algorithm>

namespace lhub {

/** Time constant of reports: after it they count for nothing. */
static constexpr milliseconds ReportLife { 1000 };
/** Objects that a VM remembers for an endpoint; what endpoints remember is of that order. */
static constexpr std::size_t RecentKeys = 24;
/** Until the first answer: warm work as a part of the objective. */
static constexpr double FirstWarmPart = 0.35;
/** Until the first answer: cold work as a part of the objective. */
static constexpr double FirstColdPart = 0.9;
/** Quantiles of the measured work that stand for warm and for cold work: queues and objects that were forgotten lengthen
 *  what should have been warm, objects that other VMs warmed shorten what should have been cold. */
static constexpr double WarmQuantile = 0.3;
static constexpr double ColdQuantile = 0.6;
/** Step of a quantile's estimate for one answer, relative to the estimate. */
static constexpr double TimesGain = 0.05;
/** Requests in a thousand that load may move between regions, in any two seconds. */
static constexpr std::uint32_t MovedPermille = 80;
/** An answer is overdue at this many times what was expected, and of cold work, beyond the wait for a slot. */
static constexpr double OverdueFactor = 2.5;
static constexpr double OverdueColdFactor = 1.5;
/** Never sooner than this: shorter delays are jitter. */
static constexpr double OverdueLeastMs = 120;
/** Least and most time until a refused caller comes back. */
static constexpr milliseconds LeastRetryAfter { 100 };
static constexpr milliseconds MostRetryAfter { 1000 };
/** Retry-After while there is no configuration: about the time that reading it takes. */
static constexpr milliseconds StartingRetryAfter { 400 };
/** Time that an answer needs on its way back to the caller. */
static constexpr milliseconds WayBack { 10 };
/** Bound on attempts, failed connections included. */
static constexpr std::size_t MostAttempts = 5;
/** Round trip to another region as callers' objectives see it. */
static constexpr double FarMs = 110;

static double msOf(time_point::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

/** Load of an endpoint: own attempts, and the others' by its last report, fading. */
static double loadOf(const endpoint_state& endpoint, time_point now)
{
    const double age = msOf(now - endpoint.reportedAt) / static_cast<double>(ReportLife.count());
    return endpoint.inFlight + endpoint.othersLoad * std::max(0.0, 1 - age);
}

static route_times timesOf(const gate_state& gate, const route& rules)
{
    const auto found = gate.times.find(rules.name);
    auto times = found == gate.times.end() ? route_times {} : found->second;
    const auto objective = static_cast<double>(rules.objective.count());
    if (times.warmMs <= 0)
        times.warmMs = FirstWarmPart * objective;
    if (times.coldMs <= 0)
        times.coldMs = std::max(FirstColdPart * objective, times.warmMs);
    return times;
}

static bool isAllowedRegion(const route& rules, const std::string& region)
{
    return rules.regions.empty()
        || std::find(rules.regions.begin(), rules.regions.end(), region) != rules.regions.end();
}

static bool wasTried(const gate_request& request, const std::string& endpoint)
{
    return std::any_of(request.attempts.begin(), request.attempts.end(),
        [&](const attempt_state& attempt) { return attempt.endpoint == endpoint; });
}

/** Whether an endpoint may get a request now, for all that this VM knows. */
static bool isUsable(gate_state& gate, endpoint_state& endpoint, time_point now)
{
    if (endpoint.health.onTrial && endpoint.inFlight > 0)
        return false;
    if (!isCold(gate, endpoint, now))
        return true;
    const auto rules = rulesOf(gate, endpoint.entry.service);
    const double perSecond = (rules.coldPerSecond * gate.self.coldOverage + gate.self.coldSlack) / ColdOwnersAtOnce;
    return mayWarm(endpoint.warming, perSecond, now) && ownsColdEndpoint(gate, endpoint, now);
}

/** Endpoints that may serve the request, as placement sees them. */
struct candidate_list {
    std::vector<place_candidate> candidates; ///< As placement wants them.
    std::vector<endpoint_state*> endpoints; ///< The same, by index.
};

static candidate_list candidatesFor(gate_state& gate, const gate_request& request, time_point now)
{
    candidate_list list;
    std::size_t total = 0;
    std::size_t ejected = 0;
    for (auto& [id, endpoint] : gate.endpoints) {
        const bool fits = endpoint.entry.service == request.service && !endpoint.entry.leaving
            && gate.evacuated.count(endpoint.entry.zone) == 0 && isAllowedRegion(*request.rules, endpoint.region);
        if (!fits)
            continue;
        ++total;
        const bool out = isEjected(endpoint.health, now);
        ejected += out ? 1 : 0;
        const auto& keys = endpoint.recentKeys;
        list.candidates.push_back({ endpoint.entry.id, endpoint.region, static_cast<double>(endpoint.entry.slots),
            loadOf(endpoint, now), slownessAt(endpoint.health, now), !out && !wasTried(request, id) && isUsable(gate, endpoint, now),
            std::find(keys.begin(), keys.end(), request.key) != keys.end() });
        list.endpoints.push_back(&endpoint);
    }
    // More than half out: the evidence speaks of something common, not of endpoints.
    for (std::size_t i = 0; ejected * 2 > total && i < list.candidates.size(); ++i) {
        auto& endpoint = *list.endpoints[i];
        if (isEjected(endpoint.health, now) && !wasTried(request, endpoint.entry.id))
            list.candidates[i].usable = !isCold(gate, endpoint, now) || isUsable(gate, endpoint, now);
    }
    return list;
}

/** Whether load may still move a request to another region without a sudden change of the region's share. */
static bool mayMoveRegion(const gate_state& gate, time_point now)
{
    const auto placed = eventsWithin(gate.placed, now, seconds(2));
    return (eventsWithin(gate.moved, now, seconds(2)) + 1) * 1000 <= placed * MovedPermille;
}

static std::optional<place_choice> placeFor(
    gate_state& gate, const gate_request& request, const candidate_list& list, time_point now)
{
    const auto times = timesOf(gate, *request.rules);
    place_question question;
    question.key = request.key;
    question.region = gate.self.region;
    question.budgetMs = std::max(0.0, msOf(request.arrived + request.rules->objective - now));
    question.times = { times.warmMs, times.coldMs, FarMs };
    question.mayMove = mayMoveRegion(gate, now);
    return placeRequest(question, list.candidates);
}

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

/** When an attempt without an answer is overdue: several times what was expected, and more than cold work takes. */
static time_point overdueAt(const gate_state& gate, const gate_request& request, const attempt_state& attempt)
{
    const double after = std::max({ OverdueLeastMs, OverdueFactor * attempt.expectedMs,
                             OverdueColdFactor * timesOf(gate, *request.rules).coldMs })
        + attempt.waitMs;
    return attempt.sentAt + milliseconds(static_cast<std::int64_t>(after));
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
            { "expected_ms", std::to_string(static_cast<int>(choice.expectedMs)) },
            { "left_ms", std::to_string(elapsed(now, request.deadline).count()) },
            { "config", std::to_string(gate.configRevision) } } });
    effects.push_back(send_attempt { id, attempt.id, endpoint.entry.id, endpoint.entry.address, request.deadline,
        connectTimeTo(gate, endpoint.region) });
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
    const auto vms = static_cast<std::uint32_t>(aliveMembers(gate.members, gate.gossip, now).size());
    // Twice the VMs seen: others may be out of sight and spare ones may join.
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
    const double left = msOf(request.deadline - now - WayBack);
    if (choice->expectedMs > left) {
        giveUp(gate, now, id, choice->waitMs, "cannot be served in time", effects);
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

/** Moves the estimate of a quantile by one value: up by its part, down by the rest, in the long run balanced there. */
static double nextQuantile(double estimate, double value, double quantile)
{
    const double step = TimesGain * estimate;
    return estimate + (value < estimate ? -step * (1 - quantile) : step * quantile);
}

/** Learns from a whole answer. */
static void learn(gate_state& gate, const gate_request& request, const attempt_state& attempt, endpoint_state& endpoint, time_point now)
{
    const double took = msOf(now - attempt.sentAt);
    const double far = endpoint.region == gate.self.region ? 0 : FarMs;
    const double work = std::max(1.0, took - attempt.waitMs - far);
    auto& times = gate.times[request.rules->name];
    const auto usual = timesOf(gate, *request.rules);
    if (attempt.warm)
        times.warmMs = nextQuantile(usual.warmMs, work, WarmQuantile);
    else
        times.coldMs = nextQuantile(usual.coldMs, work, ColdQuantile);
    const double expected = attempt.waitMs + far + (attempt.warm ? usual.warmMs : usual.coldMs);
    noteLatency(endpoint.health, milliseconds(static_cast<std::int64_t>(took)), milliseconds(static_cast<std::int64_t>(expected)), now);
}

static health_signal signalOf(const attempt_seen& event)
{
    switch (event.outcome) {
    case dispatch_outcome::Whole:
        return event.status >= 500 ? health_signal::Broken : health_signal::Good;
    case dispatch_outcome::ConnectFailed:
        return health_signal::Unreachable;
    case dispatch_outcome::Shed:
        return health_signal::Refused;
    case dispatch_outcome::TimedOut:
        return health_signal::Overdue;
    default:
        return health_signal::Broken;
    }
}

/** Counts a signal; an ejected endpoint loses its kept connections, so that the next attempt there proves a connection. */
static void signalEndpoint(endpoint_state& endpoint, health_signal signal, const std::string& reason, time_point now, gate_effects& effects)
{
    if (!noteSignal(endpoint.health, signal, now))
        return;
    effects.push_back(drop_connections { endpoint.entry.address });
    effects.push_back(log_line { "endpoint",
        { { "id", endpoint.entry.id }, { "state", "ejected" }, { "reason", reason },
            { "for_ms", std::to_string(elapsed(now, endpoint.health.ejectedUntil).count()) } } });
}

/** Takes what the end of an attempt says of the endpoint into account. */
static void noteEndpoint(gate_state& gate, const gate_request& request, const attempt_state& attempt, const attempt_seen& event,
    time_point now, gate_effects& effects)
{
    const auto found = gate.endpoints.find(attempt.endpoint);
    if (found == gate.endpoints.end())
        return;
    auto& endpoint = found->second;
    endpoint.inFlight -= endpoint.inFlight > 0 ? 1 : 0;
    if (event.outcome == dispatch_outcome::CallerGone)
        return;
    if (event.coldLeft.count() > 0)
        endpoint.coldUntil = std::max(endpoint.coldUntil, now + event.coldLeft);
    if (event.reported) {
        endpoint.othersLoad = std::max(0.0, event.running + event.waiting - endpoint.inFlight);
        endpoint.reportedAt = now;
    }
    if (event.status != 0)
        endpoint.answeredAt = now;
    const bool full = event.outcome == dispatch_outcome::Shed && event.reported && event.running >= event.slots;
    if (event.outcome == dispatch_outcome::Whole && event.status < 500)
        learn(gate, request, attempt, endpoint, now);
    if (event.misdirected) { // Its address belongs to another endpoint now.
        removeEndpoint(gate, attempt.endpoint, effects);
        return;
    }
    if (!full)
        signalEndpoint(endpoint, signalOf(event), event.reason, now, effects);
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

/** Endpoints that have answered nothing since an overdue attempt was sent get a bad signal, once an attempt. */
static void noteOverdue(gate_state& gate, gate_request& request, time_point now, gate_effects& effects)
{
    for (auto& attempt : request.attempts) {
        const auto endpoint = gate.endpoints.find(attempt.endpoint);
        if (!attempt.open || attempt.overdue || endpoint == gate.endpoints.end())
            continue;
        if (now < overdueAt(gate, request, attempt) && now < request.deadline)
            continue;
        attempt.overdue = true;
        if (endpoint->second.answeredAt <= attempt.sentAt)
            signalEndpoint(endpoint->second, health_signal::Overdue, "overdue", now, effects);
    }
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
