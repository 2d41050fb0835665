/** @file gate_type.h The state of lhub-gate: routes, endpoints, members and open requests of one entry VM. */
#pragma once

#include "admission/admission_type.h"
#include "core/verdict_type.h"
#include "distance/distance_type.h"
#include "fair_share/fair_share_type.h"
#include "gossip/gossip_type.h"
#include "health/health_type.h"
#include "limit/limit_type.h"
#include "lookup/lookup_type.h"
#include "loss/loss_type.h"
#include "pace/pace_type.h"
#include "placement/placement_type.h"
#include "quota/quota_type.h"
#include "route/route_func.h"
#include "self_report/self_report_type.h"
#include <deque>
#include <memory>
#include <set>

namespace lhub {

/** The registration of an endpoint, as the endpoint wrote it. */
struct endpoint_registration {
    std::string id; ///< Identity; usually differs between two starts of the endpoint.
    std::string service; ///< Name of the service that it serves.
    std::string zone; ///< Its availability zone.
    std::string address; ///< IP:port.
    std::uint32_t slots = 1; ///< Requests that it can process at the same time.
    bool leaving = false; ///< It drains and must not get new requests.
    milliseconds coldLeft { 0 }; ///< Remaining cold time when the registration was written.
    std::int64_t startUnixMs = 0; ///< Time of its start in Unix milliseconds; distinguishes two starts with the same id.
};

/** An endpoint as this VM knows it. */
struct endpoint_state {
    endpoint_registration entry; ///< Newest registration.
    bool keepsLeaving = false; ///< It was leaving when the store was restored from an older snapshot: it stays so until it starts again, whatever its registration says.
    std::string region; ///< Region of its zone; the zone's name when the zone is unknown.
    time_point coldUntil {}; ///< End of its cold time after a start.
    recent_dispatches coldDispatches; ///< Requests that this VM sent while it was cold.
    bool coldOwner = false; ///< Cached result of ownsColdEndpoint().
    time_point coldOwnerCheckedAt {}; ///< When coldOwner was computed.
    endpoint_health health; ///< From this VM's own attempts only.
    endpoint_pace pace; ///< Of its current start; unused where endpoints are not paced.
    std::uint32_t inFlight = 0; ///< Open attempts of this VM.
    std::uint64_t bodyBytesInFlight = 0; ///< Bodies of the requests of these attempts.
    double otherVmsLoad = 0; ///< Requests of other VMs that it was processing or queueing at its last load report.
    time_point loadReportedAt {}; ///< Time of its last load report; the epoch before the first.
    time_point lastAnswerAt {}; ///< When it last sent a response head.
    std::deque<std::uint64_t> recentKeys; ///< Placement keys of requests that this VM sent to it lately, newest last.
};

/** Learned processing times of a route at endpoints, without the wait for a slot and the network. */
struct route_times {
    double cachedMs = 0; ///< Where the object was handled recently; 0 before the first response.
    double uncachedMs = 0; ///< At other endpoints; 0 before the first response.
};

/** Shares of this VM in the requests of a service. */
struct service_shares {
    std::map<std::string, quota_share> byRegion; ///< By the region of the endpoint.
    time_point computedAt {}; ///< The epoch before the first time.
};

/** One attempt to have an endpoint serve a request. */
struct attempt_state {
    std::uint64_t id = 0; ///< Unique within the process.
    std::string endpoint; ///< Identity of the endpoint.
    std::int64_t endpointStartUnixMs = 0; ///< The start of the endpoint that was registered when the attempt was made.
    time_point sentAt {}; ///< When it was passed to the shell.
    double expectedWithoutWaitMs = 0; ///< Expected time until the response, without waitMs.
    double waitMs = 0; ///< Expected wait for a slot.
    double workFactor = 1; ///< The endpoint's expected work factor, see endpoint_health; contained in both times above.
    bool expectedCached = false; ///< The endpoint was expected to have handled the object recently.
    bool expectedLate = false; ///< Its expected time exceeded what was left of the route's objective.
    loss_cause failure = loss_cause::None; ///< Why it ended without a response that could be relayed; None while it has not.
    bool open = true; ///< Its attempt_ended event has not arrived.
    bool overdueRecorded = false; ///< It was checked as overdue once; this is not repeated.
    bool staleConnection = false; ///< It failed on a stale connection, which says nothing about the endpoint.
};

/** A request that this VM refused. Its caller may come back, with another request id. */
struct refused_request {
    std::uint64_t key = 0; ///< Placement key.
    time_point callerDeadline {}; ///< When its caller gives up; the same on its return.
};

/** A request from its arrival to the end of its last attempt. */
struct gate_request {
    std::shared_ptr<const route_table> table; ///< Configuration at its arrival; keeps matchedRoute valid.
    const route* matchedRoute = nullptr; ///< Its route, in table.
    const customer_rules* customer = nullptr; ///< Customer of its key, in table; null on public routes and without customers in the configuration.
    std::string service; ///< Service that was chosen from the route's targets.
    std::string callerRequestId; ///< Request id that the caller sent.
    std::uint64_t key = 0; ///< Placement key: hash of its object, or of callerRequestId.
    std::uint64_t bodyBytes = 0; ///< Size of its body.
    time_point arrived {}; ///< When the reducer received it.
    time_point deadline {}; ///< The earlier of the caller's and the route's.
    std::vector<attempt_state> attempts; ///< All attempts, oldest first.
    time_point callerDeadline {}; ///< When the caller gives up.
    bool cameBack = false; ///< This VM refused it before; see wasRefusedBefore().
    bool mayHaveRun = false; ///< An attempt ended without proof that the request did not run.
    bool closed = false; ///< The caller was answered or left; the request is kept only until its open attempts end.
    bool hedgeConsidered = false; ///< A hedge (a second attempt beside an overdue one) was considered once; this is not repeated.
    bool waitsForToken = false; ///< It waits for a token of its customer's quota, and has no attempt yet.
    time_point tokenUntil {}; ///< End of that wait.
    std::optional<quota_token> token; ///< Token of its customer's quota; empty without a quota.
    std::uint32_t countedAttempts = 0; ///< Attempts that may have reached an endpoint: all but those that failed to connect.
};

/** An endpoint whose registration was removed while it was leaving. */
struct left_endpoint {
    std::string id; ///< Identity of the endpoint.
    std::int64_t startUnixMs = 0; ///< Its start.
    time_point removedAt {}; ///< When its registration was removed.
};

/** Identity and limits of this VM, from its settings. */
struct gate_parameters {
    std::string vm; ///< Identity of the VM.
    std::string ip; ///< IP that callers reach it at.
    std::string zone; ///< Availability zone of the VM.
    std::string region; ///< Region of the zone.
    std::map<std::string, std::string> regionOfZone; ///< Region of each zone of the system.
    vm_size capacity; ///< Processor and link, which decide its share of the callers.
    retry_bounds retryBounds; ///< Limit on retries of all VMs together, for each service.
    double coldOverage = 1; ///< Factor on service_rules::coldRequestsPerSecond, for all VMs together.
    double coldSlack = 0; ///< Requests a second that a cold endpoint may get in addition.
    pace_mode recoveryPace = pace_mode::Auto; ///< Where endpoints that have started or recovered are paced.
    milliseconds quotaWindow { 5000 }; ///< Window over which quotas of customers are counted.
};

/** The state of the reducer. */
struct gate_state {
    gate_parameters self; ///< This VM.
    admission_settings admission; ///< Settings of admission.
    gossip_settings gossip; ///< Settings of gossip.
    std::shared_ptr<const route_table> routes; ///< Configuration in force; null before the first.
    std::uint64_t configRevision = 0; ///< Store revision of the configuration.
    std::map<std::string, endpoint_state> endpoints; ///< By id of the endpoint.
    self_report_table selfReports; ///< What endpoints have said about themselves.
    std::map<std::string, service_shares> limitShares; ///< Cached shares in the limits of endpoints, by service.
    std::deque<left_endpoint> leftEndpoints; ///< Oldest first. A store restored from an older snapshot may contain them again.
    bool endpointsKnown = false; ///< A complete list of endpoints was read.
    std::set<std::string> evacuatedZones; ///< Evacuated zones; their endpoints get no requests.
    std::map<std::string, time_point> zoneColdUntil; ///< By zone whose evacuation ended: until when all its endpoints count as cold.
    member_table members; ///< Entry VMs, from gossip.
    view_trust trust; ///< Cached trust in the view of the members.
    time_point trustComputedAt {}; ///< When trust was computed.
    std::map<std::string, retry_counts> retryCounts; ///< By service.
    std::map<std::string, route_times> routeTimes; ///< By name of the route.
    std::deque<refused_request> refusals; ///< Newest refusals, to recognize callers that come back; newest last.
    std::set<std::string> workTimeServices; ///< Services of which an endpoint has reported its work time.
    std::vector<pace_change> paceChanges; ///< Changes of the paces of endpoints that are not logged yet.
    region_distances distances; ///< Round trips to the regions.
    fair_share_table fairShares; ///< Demand of customers, and their shares under overload.
    loss_counts losses; ///< Results of requests and quality of forecasts.
    split_state split; ///< State of the split of requests over the targets of each route.
    std::map<std::uint64_t, gate_request> requests; ///< By request_received::id.
    quota_state quota; ///< Quotas of customers over all VMs.
    milliseconds quotaWindow { 0 }; ///< gate_parameters::quotaWindow by which the limits were computed.
    quota_view quotaView; ///< Cached view of the members for quotas.
    time_point quotaViewAt {}; ///< When it was computed; the epoch before the first time.
    per_second_counts placements; ///< Attempts that were sent.
    per_second_counts crossRegionMoves; ///< Attempts among them that load moved to another region.
    std::uint64_t lastAttemptId = 0; ///< Id of the newest attempt.
    std::optional<time_point> respondUntil; ///< When the response to the last request must be known; set when a graceful stop began.
};

} // namespace lhub
