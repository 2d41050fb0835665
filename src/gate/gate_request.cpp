/** @file gate_request.cpp Requests from arrival to response: placement, attempts, retries and hedges. */
#include "gate/gate_internal.h"

#include "core/hash.h"
#include "distance/distance_func.h"
#include "fair_share/fair_share_func.h"
#include "health/health_func.h"
#include "limit/limit_func.h"
#include "self_report/self_report_func.h"
#include <algorithm>
#include <limits>

namespace lhub {

/** Size of endpoint_state::recentKeys; about as many objects as an endpoint keeps cached. */
static constexpr std::size_t MaxRecentKeys = 24;
/** Bounds on the Retry-After of a refused request. */
static constexpr milliseconds MinRetryAfter { 100 };
static constexpr milliseconds MaxRetryAfter { 1000 };
/** Least upper bound on a Retry-After, for callers that have hardly any time left. */
static constexpr milliseconds ShortestRetryAfter { 10 };
/** Retry-After while the configuration or the list of endpoints is missing: about the time that reading them takes. */
static constexpr milliseconds StartingRetryAfter { 400 };
/** Retry-After while a row of the configuration cannot be read; only a new configuration helps. */
static constexpr milliseconds UnreadableRetryAfter { 1000 };
/** Time reserved for the way of a response back to the caller. */
static constexpr milliseconds ResponseTransitTime { 10 };
/** Maximum number of attempts for one request, failed connections included. */
static constexpr std::size_t MaxAttempts = 5;

/** Marks an answered or abandoned request as closed, cancels its open attempts and erases it when there are none. */
static void closeRequest(gate_state& gate, std::uint64_t id, gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    for (auto& attempt : request.attempts) {
        if (attempt.open)
            effects.push_back(cancel_attempt { id, attempt.id });
    }
    const bool anyOpen = std::any_of(
        request.attempts.begin(), request.attempts.end(), [](const auto& attempt) { return attempt.open; });
    request.closed = true;
    if (anyOpen)
        return;
    endQuotaUse(gate, id, request);
    gate.requests.erase(id);
}

/** Sends the caller a response of the entry VM itself, and closes the request. */
static void respond(gate_state& gate, time_point now, std::uint64_t id, unsigned status, milliseconds retryAfter,
    std::string_view reason, loss_cause ownCause, gate_effects& effects)
{
    const auto& request = gate.requests.at(id);
    const auto cause = recordUnserved(gate, request, status == 503 || status == 429 ? service_result::Refused : service_result::Failed, ownCause);
    effects.push_back(log_line { "answer",
        { { "id", request.callerRequestId }, { "route", request.matchedRoute->name }, { "service", request.service }, { "customer", customerOf(request) },
            { "status", std::to_string(status) }, { "reason", std::string(reason) }, { "cause", std::string(nameOf(LossCauseNames, cause)) }, { "zone", gate.self.zone },
            { "retry_after_ms", std::to_string(retryAfter.count()) }, { "attempts", std::to_string(request.attempts.size()) },
            { "after_ms", std::to_string(elapsed(request.arrived, now).count()) },
            { "config", std::to_string(gate.configRevision) } } });
    effects.push_back(send_response { id, status, retryAfter, reason });
    closeRequest(gate, id, effects);
}

/**
 * Retry-After of a refused request: the expected wait for a slot, multiplied by 1 to 2 depending on the request id so that
 * callers that are refused together do not retry together, and at most a third of the time until the deadline.
 * With customers in the configuration the jitter is also kept where a bound applies, and for callers that send no request id.
 */
static milliseconds retryAfterFor(const gate_request& request, std::uint64_t id, double waitMs, time_point now)
{
    const auto timeLeft = elapsed(now, request.deadline);
    if (request.table->config.hasCustomers) {
        const auto longest = std::clamp(timeLeft / 3, ShortestRetryAfter, MaxRetryAfter);
        return spreadDelay(milliseconds(static_cast<std::int64_t>(std::min(waitMs, 1e6))), MinRetryAfter, longest, stableHash(request.callerRequestId, id));
    }
    const double spread = 1 + static_cast<double>(stableHash(request.callerRequestId) % 100) / 100;
    const auto spreadWait = milliseconds(static_cast<std::int64_t>(waitMs * spread));
    return std::clamp(std::min(spreadWait, timeLeft / 3), MinRetryAfter, MaxRetryAfter);
}

/** Ends a request that gets no further attempt: 503 only if it certainly did not run, otherwise 502 or 504. @param waitMs see retryAfterFor(). */
static void failRequest(gate_state& gate, time_point now, std::uint64_t id, double waitMs, std::string_view reason, loss_cause ownCause, gate_effects& effects)
{
    const auto& request = gate.requests.at(id);
    if (!request.mayHaveRun) {
        rememberRefusal(gate, request);
        respond(gate, now, id, 503, retryAfterFor(request, id, waitMs, now), reason, ownCause, effects);
        return;
    }
    respond(gate, now, id, now >= request.deadline ? 504 : 502, milliseconds(0), reason, ownCause, effects);
}

void refuseForQuota(gate_state& gate, time_point now, std::uint64_t id, milliseconds wait, gate_effects& effects)
{
    const auto retryAfter = recordQuotaRefusal(gate, gate.requests.at(id), wait, now, effects);
    respond(gate, now, id, 429, retryAfter, "the quota is used up", loss_cause::OverQuota, effects);
}

/** When the response to a request must be known: at its deadline, or earlier if this VM stops. */
static time_point responseDueAt(const gate_state& gate, const gate_request& request)
{
    return gate.respondUntil ? std::min(request.deadline, *gate.respondUntil) : request.deadline;
}

/** Whether this VM will run until the request's deadline. If not, an attempt might be cut off, and the request is better sent to another VM. */
static bool outlasts(const gate_state& gate, const gate_request& request) { return responseDueAt(gate, request) == request.deadline; }

/** What the endpoint is told about the customer; see send_attempt::customer. */
static std::optional<std::string> customerForEndpoint(const gate_request& request)
{
    if (!request.table->config.hasCustomers)
        return std::nullopt;
    return customerOf(request);
}

/** Starts an attempt at the chosen endpoint. */
static void sendTo(gate_state& gate, time_point now, std::uint64_t id, const place_choice& choice, endpoint_state& endpoint,
    gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    attempt_state attempt;
    attempt.id = ++gate.lastAttemptId;
    attempt.endpoint = endpoint.entry.id;
    attempt.endpointStartUnixMs = endpoint.entry.startUnixMs;
    attempt.sentAt = now;
    attempt.expectedWithoutWaitMs = choice.expectedMs - choice.waitMs;
    attempt.waitMs = choice.waitMs;
    attempt.workFactor = workFactorAt(endpoint.health, now);
    attempt.expectedCached = choice.cached;
    attempt.expectedLate = now + milliseconds(static_cast<std::int64_t>(choice.expectedMs)) > request.arrived + request.matchedRoute->objective;
    request.attempts.push_back(attempt);
    ++request.countedAttempts;
    ++endpoint.inFlight;
    endpoint.bodyBytesInFlight += request.bodyBytes;
    countEvent(gate.placements, now);
    if (choice.movedByLoad)
        countEvent(gate.crossRegionMoves, now);
    if (isCold(gate, endpoint, now))
        endpoint.coldDispatches.sentTimes.push_back(now);
    if (auto* limited = limitedState(gate.selfReports, endpoint.entry.id, endpoint.entry.startUnixMs))
        recordDispatch(*limited, now);
    auto& keys = endpoint.recentKeys;
    keys.erase(std::remove(keys.begin(), keys.end(), request.key), keys.end());
    keys.push_back(request.key);
    if (keys.size() > MaxRecentKeys)
        keys.pop_front();
    effects.push_back(log_line { "send",
        { { "id", request.callerRequestId }, { "route", request.matchedRoute->name }, { "object", std::to_string(request.key % 1000000) }, { "endpoint", endpoint.entry.id }, { "zone", endpoint.entry.zone },
            { "attempt", std::to_string(request.attempts.size()) }, { "warm", choice.cached ? "yes" : "no" }, { "moved", choice.movedByLoad ? "yes" : "no" },
            { "load", std::to_string(endpoint.inFlight - 1) + "+" + std::to_string(static_cast<int>(endpoint.otherVmsLoad)) },
            { "load_age_ms", std::to_string(endpoint.loadReportedAt == time_point {} ? -1 : elapsed(endpoint.loadReportedAt, now).count()) },
            { "work_percent", std::to_string(static_cast<int>(100 * attempt.workFactor)) }, { "wait_ms", std::to_string(static_cast<int>(choice.waitMs)) }, { "expected_ms", std::to_string(static_cast<int>(choice.expectedMs)) },
            { "left_ms", std::to_string(elapsed(now, request.deadline).count()) },
            { "config", std::to_string(gate.configRevision) } } });
    effects.push_back(send_attempt { id, attempt.id, endpoint.entry.id, endpoint.entry.address, request.deadline,
        connectTimeoutTo(gate.distances, endpoint.region),
        milliseconds(static_cast<std::int64_t>(roundTripTo(gate.distances, endpoint.region))), request.matchedRoute->repeatable, customerForEndpoint(request) });
    effects.push_back(set_request_timer { id, std::min(overdueAt(gate, request, attempt), request.deadline) });
}

/** Whether a further attempt is allowed. Attempts that failed to connect count only towards MaxAttempts, not towards the
 *  route's limit or the retry limit of the service. */
static bool mayAttemptAgain(gate_state& gate, const gate_request& request, time_point now)
{
    if (request.countedAttempts >= std::max(1U, request.matchedRoute->maxAttempts) || request.attempts.size() >= MaxAttempts)
        return false;
    if (now + ResponseTransitTime >= request.deadline || !outlasts(gate, request))
        return false;
    if (request.countedAttempts == 0)
        return true;
    const auto vms = static_cast<std::uint32_t>(currentTrust(gate, now).recentMembers);
    // Twice the number of VMs that gossip knows of, since spare VMs may have joined unnoticed.
    return mayRetryWithin(gate.retryCounts[request.service], gate.self.retryBounds, 2 * vms, now);
}

/** Expected wait of a request that no endpoint may get now: until the first pause that an endpoint has asked for ends. */
static double waitForUsableMs(const gate_state& gate, const candidate_list& list, time_point now)
{
    double waitMs = std::numeric_limits<double>::max();
    for (const auto* endpoint : list.endpoints) {
        const auto until = pausedUntil(gate.selfReports, endpoint->entry.id, endpoint->entry.startUnixMs);
        if (now < until)
            waitMs = std::min(waitMs, toMilliseconds(until - now));
    }
    const auto shortest = static_cast<double>(MinRetryAfter.count());
    return waitMs == std::numeric_limits<double>::max() ? shortest : std::max(shortest, waitMs);
}

void placeAndSend(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    if (!outlasts(gate, request)) {
        failRequest(gate, now, id, 0, "this VM stops", loss_cause::Stopping, effects);
        return;
    }
    const auto list = candidatesFor(gate, request, now);
    const auto choice = choosePlacement(gate, request, list, now);
    if (!choice) {
        failRequest(gate, now, id, waitForUsableMs(gate, list, now), "no endpoint can take it", loss_cause::NotReady, effects);
        return;
    }
    const admit_query query { choice->waitMs, choice->expectedMs, toMilliseconds(request.deadline - now - ResponseTransitTime),
        std::max(0.0, toMilliseconds(request.arrived + request.matchedRoute->objective - now)), toMilliseconds(request.matchedRoute->objective) };
    const auto admission = admitPlaced(gate, request, query, now, effects);
    if (admission.refusedFor != loss_cause::None) {
        failRequest(gate, now, id, admission.retryMs, admission.reason, admission.refusedFor, effects);
        return;
    }
    if (request.countedAttempts > 0)
        countEvent(gate.retryCounts[request.service].extraAttempts, now);
    sendTo(gate, now, id, *choice, *list.endpoints[choice->index], effects);
}

/** Retry-After of a request without a route or customer: @p longest or up to 30 % less, so that callers that are refused together do not retry together. */
static milliseconds spreadRetryAfter(const request_received& event, milliseconds longest)
{
    return spreadDelay(longest, longest, longest, stableHash(event.callerRequestId, event.id));
}

/** Responds to a request for which no route or no customer is known; no gate_request is created for it. */
static void rejectUnrouted(const gate_state& gate, const request_received& event, unsigned status, milliseconds retryAfter, std::string_view reason, gate_effects& effects)
{
    effects.push_back(log_line { "answer", { { "id", event.callerRequestId }, { "host", event.host }, { "status", std::to_string(status) }, { "reason", std::string(reason) }, { "cause", std::string(nameOf(LossCauseNames, loss_cause::NotReady)) }, { "zone", gate.self.zone } } });
    effects.push_back(send_response { event.id, status, retryAfter, reason });
}

void onRequestReceived(gate_state& gate, time_point now, const request_received& event, gate_effects& effects)
{
    if (!gate.routes || !gate.endpointsKnown) {
        rejectUnrouted(gate, event, 503, StartingRetryAfter, "starting", effects);
        return;
    }
    const auto& config = gate.routes->config;
    const auto* matched = findRoute(*gate.routes, event.host, event.target);
    if (!matched && config.routesComplete) {
        rejectUnrouted(gate, event, 404, milliseconds(0), "no route", effects);
        return;
    }
    if (!matched || !matched->fault.empty()) {
        rejectUnrouted(gate, event, 503, spreadRetryAfter(event, UnreadableRetryAfter), "its route cannot be read", effects);
        return;
    }
    const bool needsKey = config.hasCustomers && !matched->isPublic;
    const auto* customer = needsKey ? findCustomer(*gate.routes, event.key) : nullptr;
    if (needsKey && !customer) {
        if (config.customersComplete)
            rejectUnrouted(gate, event, 401, milliseconds(0), "unknown key", effects);
        else
            rejectUnrouted(gate, event, 503, spreadRetryAfter(event, UnreadableRetryAfter), "its customer may be one that cannot be read", effects);
        return;
    }
    gate_request request;
    request.table = gate.routes;
    request.matchedRoute = matched;
    request.customer = customer;
    request.service = nextTarget(gate.split, *matched);
    request.callerRequestId = event.callerRequestId;
    request.key = stableHash(matched->affinity && !event.object.empty() ? event.object : event.callerRequestId, stableHash(request.service));
    request.bodyBytes = event.bodyBytes;
    request.arrived = now;
    const auto timeout = event.callerTimeout.count() > 0 ? std::min(event.callerTimeout, matched->timeout) : matched->timeout;
    request.deadline = now + timeout;
    request.callerDeadline = now + event.callerTimeout;
    request.cameBack = wasRefusedBefore(gate, request);
    countEvent(gate.retryCounts[request.service].requests, now);
    gate.requests.emplace(event.id, std::move(request));
    if (takeTokenOrWait(gate, now, event.id, effects))
        placeAndSend(gate, now, event.id, effects);
}

/** Whether the response of an attempt is relayed to the caller. An error response to a repeatable request is not if another attempt is allowed. */
static bool isFinalResponse(gate_state& gate, const gate_request& request, const attempt_ended& event, time_point now)
{
    if (event.outcome != dispatch_outcome::Whole)
        return false;
    return event.status < 500 || !request.matchedRoute->repeatable || !mayAttemptAgain(gate, request, now);
}

void onAttemptEnded(gate_state& gate, time_point now, const attempt_ended& event, gate_effects& effects)
{
    const auto found = gate.requests.find(event.request);
    if (found == gate.requests.end())
        return;
    auto& request = found->second;
    const auto endedAttempt = std::find_if(request.attempts.begin(), request.attempts.end(),
        [&](const attempt_state& attempt) { return attempt.id == event.attempt; });
    if (endedAttempt == request.attempts.end() || !endedAttempt->open)
        return;
    endedAttempt->open = false;
    endedAttempt->staleConnection = event.staleConnection;
    if (event.outcome == dispatch_outcome::ConnectFailed)
        --request.countedAttempts;
    if (event.report)
        recordReport(gate, *endedAttempt, *event.report, now, effects);
    recordAttemptEnd(gate, request, *endedAttempt, event, now, effects);
    endedAttempt->failure = failureOf(event);
    if (verdictOf(event.outcome) != verdict::NotRun)
        request.mayHaveRun = true;
    const bool othersOpen = std::any_of(
        request.attempts.begin(), request.attempts.end(), [](const auto& attempt) { return attempt.open; });
    if (event.outcome != dispatch_outcome::Whole || event.status >= 500)
        effects.push_back(log_line { "attempt", { { "id", request.callerRequestId }, { "endpoint", endedAttempt->endpoint }, { "outcome", std::string(nameOf(DispatchOutcomeNames, event.outcome)) }, { "status", std::to_string(event.status) }, { "reason", event.reason }, { "after_ms", std::to_string(elapsed(endedAttempt->sentAt, now).count()) } } });
    if (request.closed && !othersOpen) {
        endQuotaUse(gate, event.request, request);
        gate.requests.erase(found);
        return;
    }
    if (request.closed)
        return;
    if (isFinalResponse(gate, request, event, now)) {
        recordRelayed(gate, request, *endedAttempt, event.status, now, effects);
        effects.push_back(relay_response { event.request, event.attempt });
        closeRequest(gate, event.request, effects);
        return;
    }
    if (othersOpen)
        return;
    const bool notRun = verdictOf(event.outcome) == verdict::NotRun;
    if ((notRun || request.matchedRoute->repeatable) && mayAttemptAgain(gate, request, now)) {
        placeAndSend(gate, now, event.request, effects);
        return;
    }
    failRequest(gate, now, event.request, expectedTimes(gate, *request.matchedRoute).cachedMs, notRun ? "endpoint refused it" : "no whole answer", failureOf(event), effects);
}

/** Sends a hedge, a second attempt beside an overdue one, when an endpoint without a queue can serve it in time. */
static void sendHedge(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    request.hedgeConsidered = true;
    if (!mayAttemptAgain(gate, request, now))
        return;
    const auto list = candidatesFor(gate, request, now);
    const auto choice = choosePlacement(gate, request, list, now);
    if (!choice || choice->waitMs > 0 || choice->movedByLoad || choice->expectedMs > toMilliseconds(request.deadline - now - ResponseTransitTime))
        return;
    countEvent(gate.retryCounts[request.service].extraAttempts, now);
    sendTo(gate, now, id, *choice, *list.endpoints[choice->index], effects);
}

void onRequestTimer(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects)
{
    const auto found = gate.requests.find(id);
    if (found == gate.requests.end() || found->second.closed)
        return;
    auto& request = found->second;
    if (request.waitsForToken) {
        onTokenTimer(gate, now, id, effects);
        return;
    }
    recordOverdueAttempts(gate, request, now, effects);
    const auto dueAt = responseDueAt(gate, request);
    if (now < dueAt) {
        effects.push_back(set_request_timer { id, dueAt });
        if (!request.hedgeConsidered && request.matchedRoute->repeatable)
            sendHedge(gate, now, id, effects);
        return;
    }
    for (const auto& attempt : request.attempts)
        request.mayHaveRun = request.mayHaveRun || attempt.open;
    const bool expired = now >= request.deadline;
    failRequest(gate, now, id, 0, expired ? "deadline" : "this VM stops", expired ? loss_cause::Deadline : loss_cause::Stopping, effects);
}

void onStopRequested(gate_state& gate, const stop_requested& event, gate_effects& effects)
{
    gate.respondUntil = event.respondUntil;
    for (const auto& [id, request] : gate.requests) {
        if (!request.closed && !outlasts(gate, request))
            effects.push_back(set_request_timer { id, request.waitsForToken ? std::min(request.tokenUntil, event.respondUntil) : event.respondUntil });
    }
}

void onCallerGone(gate_state& gate, std::uint64_t id, gate_effects& effects)
{
    const auto found = gate.requests.find(id);
    if (found == gate.requests.end() || found->second.closed)
        return;
    auto& request = found->second;
    const auto cause = recordUnserved(gate, request, service_result::Failed, loss_cause::CallerGone);
    effects.push_back(log_line { "caller_gone",
        { { "id", request.callerRequestId }, { "service", request.service }, { "cause", std::string(nameOf(LossCauseNames, cause)) },
            { "zone", gate.self.zone }, { "attempts", std::to_string(request.attempts.size()) } } });
    if (request.matchedRoute->repeatable || request.waitsForToken) {
        closeRequest(gate, id, effects);
        return;
    }
    request.closed = true; // The attempt continues: work that must not be repeated is not cancelled halfway.
}

} // namespace lhub
