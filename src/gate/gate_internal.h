/** @file gate_internal.h Functions shared by the source files of the reducer. */
#pragma once

#include "gate/gate_func.h"

namespace lhub {

/** Number of VMs that may each consider themselves the owner of a cold endpoint while their membership views differ. Each uses
 *  this fraction of the endpoint's rate. */
inline constexpr double MaxConcurrentColdOwners = 3;

void applyEndpoint(gate_state& gate, time_point now, const endpoint_registration& entry, gate_effects& effects);
void removeEndpoint(gate_state& gate, time_point now, const std::string& id, gate_effects& effects);
void applyEvacuations(gate_state& gate, time_point now, const std::set<std::string>& zones, gate_effects& effects);

/** Whether the endpoint is cold at @p now: it started recently, or its zone was evacuated until recently. */
bool isCold(const gate_state& gate, const endpoint_state& endpoint, time_point now);

/** End of the endpoint's last cold time, its own or that of its zone; the epoch when it was not cold. */
time_point coldUntilOf(const gate_state& gate, const endpoint_state& endpoint);

/** The pace of the endpoint, brought up to date with its cold time; null where endpoints are not paced. */
endpoint_pace* currentPace(gate_state& gate, endpoint_state& endpoint, time_point now);

/** Applies what the end of an attempt shows about the pace that its endpoint can take. Precondition: recordResponseTime() has not run for it. */
void recordPaceAtEnd(gate_state& gate, const gate_request& request, const attempt_state& attempt, const attempt_ended& event, endpoint_state& endpoint, time_point now);

/** Applies an attempt that has become overdue to the pace of its endpoint. */
void recordPaceOverdue(gate_state& gate, const attempt_state& attempt, endpoint_state& endpoint, time_point now);

/** Begins the pace of an endpoint that was ejected. */
void recordPaceEjection(gate_state& gate, endpoint_state& endpoint, time_point now);

/** Logs gate_state::paceChanges. */
void logPaceChanges(gate_state& gate, gate_effects& effects);

void onPaceUpdates(gate_state& gate, time_point now, const pace_updates_received& event);

/** Whether the endpoint is about to end, by its registration or by its own responses, and must not get new requests. */
bool isLeaving(const gate_state& gate, const endpoint_state& endpoint);

/** Whether the endpoint has asked this VM for a pause that lasts beyond @p now. */
bool isPaused(const gate_state& gate, const endpoint_state& endpoint, time_point now);

/** The part of this VM in the requests that an endpoint with a limit takes from all VMs within LimitWindow; 0 until the membership view has
 *  settled after a start or a pause of the process. */
std::uint32_t limitQuota(gate_state& gate, const endpoint_state& endpoint, double requestsPerSecond, time_point now);

/** Records and logs what the endpoint of an attempt said about itself in its response. */
void recordReport(gate_state& gate, const attempt_state& attempt, const self_report& report, time_point now, gate_effects& effects);

/** Trust in the membership view; cached for ViewCacheTime. */
const view_trust& currentTrust(gate_state& gate, time_point now);

/** Rules of a service; default values when the configuration does not contain it. */
service_rules serviceRulesOf(const gate_state& gate, const std::string& service);

/** @p span in milliseconds, with fractions. */
inline double toMilliseconds(time_point::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

/** Learned processing times of a route; before the first response, estimates from its objective. */
route_times expectedTimes(const gate_state& gate, const route& route);

/** Weight of an endpoint's load report: falls linearly with its age. */
double reportWeight(const endpoint_state& endpoint, time_point now);

/** Endpoints that may serve a request. The first two members have the same order. */
struct candidate_list {
    std::vector<place_candidate> candidates; ///< Input of placement.
    std::vector<endpoint_state*> endpoints; ///< The endpoint of each candidate; valid until gate_state::endpoints changes.
    std::vector<std::pair<std::size_t, double>> heldBack; ///< Candidates that are not usable because of their pace alone, with the level.
};

/** All endpoints that match the request's service and regions; those that must not get it now are marked as unusable. */
candidate_list candidatesFor(gate_state& gate, const gate_request& request, time_point now);

/** Chooses an endpoint for the request; nothing when no candidate is usable. */
std::optional<place_choice> choosePlacement(
    gate_state& gate, const gate_request& request, const candidate_list& list, time_point now);

/** The result of admission. */
struct gate_admission {
    loss_cause refusedFor = loss_cause::None; ///< Why the request is refused; None when it is admitted.
    std::string_view reason; ///< Reason of the refusal; refers to static storage.
    double retryMs = 0; ///< Expected time until a further try has a chance; for retryAfterFor().
};

/** Decides whether a request is sent where placement put it. With customers in the configuration, a new request is also judged by the
 *  share of its customer and by its priority while its service is overloaded. Logs changes of these states. */
gate_admission admitPlaced(gate_state& gate, const gate_request& request, const admit_query& query, time_point now, gate_effects& effects);

/** Time from which an attempt without a response counts as overdue. */
time_point overdueAt(const gate_state& gate, const gate_request& request, const attempt_state& attempt);

/** Why an attempt that ended without a relayed response failed. */
loss_cause failureOf(const attempt_ended& event);

/** Name of the request's customer; empty without one. */
const std::string& customerOf(const gate_request& request);

/** Remembers a refusal for wasRefusedBefore(). */
void rememberRefusal(gate_state& gate, const gate_request& request);

/** Whether this VM refused a request for the same object whose caller gives up at the same time. Callers that come back to
 *  another VM are not recognized. */
bool wasRefusedBefore(const gate_state& gate, const gate_request& request);

/** Counts an answered attempt and logs it if it took much longer than expected. */
void recordForecast(gate_state& gate, const gate_request& request, const attempt_state& attempt, time_point now, gate_effects& effects);

/** Counts and logs a request whose response is relayed. */
void recordRelayed(gate_state& gate, const gate_request& request, const attempt_state& attempt, unsigned status, time_point now, gate_effects& effects);

/** Counts a request that ends without an endpoint's response. @param ownCause why this VM ends it; an earlier failure of an attempt goes first. @return the first cause. */
loss_cause recordUnserved(gate_state& gate, const gate_request& request, service_result result, loss_cause ownCause);

/** Updates the endpoint's load and health and the route's processing times after the end of an attempt. */
void recordAttemptEnd(gate_state& gate, const gate_request& request, const attempt_state& attempt, const attempt_ended& event,
    time_point now, gate_effects& effects);

/** Records a health signal against the endpoints of overdue attempts, once for each attempt. */
void recordOverdueAttempts(gate_state& gate, gate_request& request, time_point now, gate_effects& effects);

/** Puts the quotas of the configuration in force. Requests that wait for a token of a customer without a quota go on. */
void applyQuotaLimits(gate_state& gate, time_point now, gate_effects& effects);

/** Takes a token for a new request if its customer has a quota. @return false when it waits for one or was refused. */
bool takeTokenOrWait(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects);

/** Goes on with a request whose timer expired while it waits for a token. */
void onTokenTimer(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects);

/** Ends the wait for a token, and gives back the token of a request that certainly did not run. Precondition: none of its attempts is open. */
void endQuotaUse(gate_state& gate, std::uint64_t id, const gate_request& request);

/** Counts and logs a request that gets no token. @param wait expected time until its customer has one. @return its Retry-After,
 *  which differs between requests so that they do not come back together. */
milliseconds recordQuotaRefusal(gate_state& gate, const gate_request& request, milliseconds wait, time_point now, gate_effects& effects);

/** Responds to a request with 429 since its customer has used up its quota. @param wait see recordQuotaRefusal(). */
void refuseForQuota(gate_state& gate, time_point now, std::uint64_t id, milliseconds wait, gate_effects& effects);

/** Chooses an endpoint and sends the request there, or responds with an error. */
void placeAndSend(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects);

void onQuotaMessage(gate_state& gate, time_point now, const quota_message& message, gate_effects& effects);
void onQuotaRound(gate_state& gate, time_point now, gate_effects& effects);
void onReportUpdates(gate_state& gate, time_point now, const report_updates_received& event, gate_effects& effects);
void onRequestReceived(gate_state& gate, time_point now, const request_received& event, gate_effects& effects);
void onAttemptEnded(gate_state& gate, time_point now, const attempt_ended& event, gate_effects& effects);
void onRequestTimer(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects);
void onStopRequested(gate_state& gate, const stop_requested& event, gate_effects& effects);
void onCallerGone(gate_state& gate, std::uint64_t id, gate_effects& effects);

} // namespace lhub
