/** @file gate_type.h The state of lhub-gate: routes, endpoints, members and open requests of one entry VM. */
#pragma once

#include "admit/admit_type.h"
#include "core/verdict_type.h"
#include "gossip/gossip_type.h"
#include "health/health_type.h"
#include "limit/limit_type.h"
#include "lookup/lookup_type.h"
#include "place/place_type.h"
#include "route/route_func.h"
#include <deque>
#include <memory>
#include <set>

namespace lhub {

/** What an endpoint says of itself. */
struct endpoint_entry {
    std::string id; ///< Identity of this incarnation, mostly.
    std::string service; ///< The service it serves.
    std::string zone; ///< The zone it stands in.
    std::string address; ///< IP:port.
    std::uint32_t slots = 1; ///< Requests it serves at the same time.
    bool leaving = false; ///< It drains: nothing new.
    milliseconds coldLeft { 0 }; ///< How much longer it is cold, when this was said.
    std::int64_t born = 0; ///< Unix milliseconds of its start; tells two starts under one identity apart.
};

/** An endpoint as this VM knows it. */
struct endpoint_state {
    endpoint_entry entry; ///< Newest entry.
    std::string region; ///< Region of its zone.
    time_point coldUntil {}; ///< It is cold until then.
    cold_limit warming; ///< What it got while cold.
    bool owned = false; ///< Whether this VM may warm it, as of ownedAt.
    time_point ownedAt {}; ///< When that was decided.
    endpoint_health health; ///< Own evidence.
    std::uint32_t inFlight = 0; ///< Own attempts at it.
    double othersLoad = 0; ///< Requests of other VMs at it, by its last report.
    time_point reportedAt {}; ///< When it last reported.
    time_point answeredAt {}; ///< When it last answered anything.
    std::deque<std::uint64_t> recentKeys; ///< Objects that this VM had it handle lately, newest last.
};

/** Usual times of a route, learned. */
struct route_times {
    double warmMs = 0; ///< Work where the object was handled recently; 0 before the first answer.
    double coldMs = 0; ///< Work elsewhere.
};

/** One attempt at an endpoint. */
struct attempt_state {
    std::uint64_t id = 0; ///< Identity, unique in the process.
    std::string endpoint; ///< Identity of the endpoint.
    time_point sentAt {}; ///< When it was handed to the shell.
    double expectedMs = 0; ///< Expected until its answer, without the wait for a slot.
    double waitMs = 0; ///< Expected wait for a slot.
    bool warm = false; ///< The object was expected to be warm there.
    bool open = true; ///< Its end has not been seen yet.
    bool overdue = false; ///< Its lateness was taken into account.
    bool forgotten = false; ///< Its connection was gone; says nothing about the endpoint.
};

/** An open request. */
struct gate_request {
    std::shared_ptr<const route_table> table; ///< Keeps the route alive.
    const route* rules = nullptr; ///< Its route.
    std::string service; ///< The service chosen for it.
    std::string callerId; ///< Its id as the caller sent it.
    std::uint64_t key = 0; ///< Hash of its object, or of its id.
    time_point arrived {}; ///< When its head was read.
    time_point deadline {}; ///< The earlier of the caller's and the route's.
    std::vector<attempt_state> attempts; ///< In order.
    bool mayHaveRun = false; ///< An attempt ended without proof that it did not run.
    bool callerGone = false; ///< Nobody waits for the answer.
    bool hedged = false; ///< A second attempt was considered while the first was open.
    std::uint32_t reached = 0; ///< Attempts that may have reached an endpoint; failed connections do not count.
};

/** Who this VM is and what bounds it; from the settings. */
struct gate_identity {
    std::string vm; ///< Identity.
    std::string ip; ///< Own IP.
    std::string zone; ///< Own zone.
    std::string region; ///< Own region.
    std::map<std::string, std::string> regionOfZone; ///< All zones.
    vm_size size; ///< What it has to carry requests with.
    retry_bounds retries; ///< Over all VMs together.
    double coldOverage = 1; ///< Factor on a service's requests a second for a cold endpoint, over all VMs together.
    double coldSlack = 0; ///< Requests on top, in each second.
};

/** Everything that the reducer works on. */
struct gate_state {
    gate_identity self; ///< Who and where.
    admit_rules admission; ///< Settings of admission.
    gossip_limits gossip; ///< Settings of membership.
    std::shared_ptr<const route_table> routes; ///< Null before the first configuration.
    std::uint64_t configRevision = 0; ///< Store revision of the configuration.
    std::map<std::string, endpoint_state> endpoints; ///< By identity.
    bool endpointsKnown = false; ///< A whole list of endpoints was seen.
    std::set<std::string> evacuated; ///< Zones that get nothing.
    std::map<std::string, time_point> coldZones; ///< Zones taken back, cold until then.
    member_table members; ///< Entry VMs.
    view_trust trust; ///< In the view of them, as of trustAt.
    time_point trustAt {}; ///< When that was judged.
    std::map<std::string, retry_window> budgets; ///< By service.
    std::map<std::string, route_times> times; ///< By route.
    split_state split; ///< Shares of split routes.
    std::map<std::uint64_t, gate_request> requests; ///< Open ones, by id.
    second_counts placed; ///< Requests placed.
    second_counts moved; ///< Requests that load moved to another region.
    std::uint64_t lastAttempt = 0; ///< Last identity given to an attempt.
    bool stopping = false; ///< A graceful stop began.
};

} // namespace lhub
