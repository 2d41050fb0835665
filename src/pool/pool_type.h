/** @file pool_type.h The pool: all endpoints of one service in one zone, whose slots one owner VM grants. */
#pragma once

#include "core/name_table.h"
#include "core/time_type.h"
#include "core/verdict_type.h"
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lhub {

/** Limits and intervals of a pool. */
struct pool_limits {
    std::uint32_t maxQueuedPerSlot = 2; ///< Capacity of the queue per slot of the endpoints that may serve.
    std::uint32_t minQueueCapacity = 4; ///< Capacity of the queue of a pool with few slots.
    milliseconds warmUpTime { 2000 }; ///< Time over which the slots of a cold endpoint are opened one by one.
    milliseconds expiryGrace { 1000 }; ///< A reservation expires at the owner this long after its request's deadline.
    std::uint32_t failuresToEject = 3; ///< Consecutive failures that eject an endpoint, if two sources saw them.
    milliseconds ejectionTime { 5000 }; ///< How long an ejected endpoint gets no requests.
    std::uint32_t maxEjectedPercent = 34; ///< Most endpoints of the pool that may be ejected at the same time.
    std::uint32_t reservePercent = 10; ///< Percentage of the usable slots that is never lent to other zones.
    milliseconds creditLifetime { 2000 }; ///< A credit expires at the granter after this.
    std::uint32_t holderLifetimePercent = 90; ///< Percentage of its lifetime after which a credit expires at the holder.
    milliseconds creditRequestInterval { 500 }; ///< Shortest time between two credit requests to one zone.
    std::uint32_t highLoadPercent = 80; ///< Percentage of usable slots above which credits are requested in advance.
};

/** Role of this VM for a pool. */
enum class pool_role {
    Follower, ///< Another VM owns the pool, or none does yet.
    TakingOver, ///< Has asked the present owner for a hand-over.
    Recovering, ///< The owner died: asks all peers which reservations they hold.
    Owner, ///< Grants the slots.
};

/** Names of roles in logs and traces. */
inline constexpr std::array<name_row<pool_role>, 4> PoolRoleNames { {
    { pool_role::Follower, "follower" },
    { pool_role::TakingOver, "taking_over" },
    { pool_role::Recovering, "recovering" },
    { pool_role::Owner, "owner" },
} };

/** One endpoint, as the owner of its pool sees it. */
struct pool_endpoint {
    std::string address; ///< IP:port.
    std::uint32_t slots = 0; ///< Requests that it serves at the same time, as configured.
    std::uint32_t inflight = 0; ///< Reservations of its slots.
    std::uint32_t unaccounted = 0; ///< Slots that an earlier owner may have granted without this one knowing.
    time_point unaccountedUntil {}; ///< When those slots count as free again at the latest.
    bool drained = false; ///< A drain in the configuration covers it.
    bool leaving = false; ///< It reported in a probe or an answer that it is leaving.
    time_point ejectedUntil {}; ///< It gets no requests before this.
    time_point configuredAt {}; ///< When it was added, changed its address or came out of a drain.
    time_point warmUpStart {}; ///< When it got its first request after it was cold.
    bool cold = true; ///< No request yet since it was added or came back (drain, ejection, leaving): one slot is open.
    std::uint32_t consecutiveFailures = 0; ///< Failures since the last success or ejection.
    std::set<std::string> failureSources; ///< Who saw those failures: names of VMs, or "probe".
    std::uint64_t lastReservationId = 0; ///< Of its latest grant; among equally loaded endpoints the lowest is chosen.
};

/** A slot granted to one request, or a credit used by a hop to another zone. */
struct reservation {
    std::string endpoint; ///< Endpoint whose slot it is; for a hop the destination zone.
    std::string vm; ///< VM that dispatches the request.
    time_point expiresAt {}; ///< When the owner frees the slot if no release arrives.
    std::string sourceZone; ///< Zone that uses a credit lent to it; empty for requests of this zone.
    bool hop = false; ///< Uses a credit towards another zone instead of a slot here.
};

/** A request for a slot. */
struct acquire_request {
    std::uint64_t callId = 0; ///< Identifies the answer: id of a local request, or of a peer's call (RemoteCallBit).
    std::string requestId; ///< For logs.
    std::string vm; ///< VM that will dispatch the request.
    time_point deadline {}; ///< The caller no longer waits after this.
    std::uint32_t weight = 1; ///< Priority, 1 or 2: 2 is queued before 1.
    std::vector<std::string> avoid; ///< Endpoints and zones that were already tried.
    std::string sourceZone; ///< Zone that uses a credit lent to it; empty for requests of this zone.
    bool mayMove = false; ///< Whether it may be sent to another zone.
};

/** Result of an acquire. */
enum class acquire_result {
    NotOwner, ///< This VM does not own the pool: ask another one.
    Granted, ///< A slot of an endpoint in this zone.
    Hop, ///< A credit towards another zone: send the request there.
    Shed, ///< Refused; the request was not sent anywhere.
};

/** Names of acquire results. */
inline constexpr std::array<name_row<acquire_result>, 4> AcquireResultNames { {
    { acquire_result::NotOwner, "not_owner" },
    { acquire_result::Granted, "granted" },
    { acquire_result::Hop, "hop" },
    { acquire_result::Shed, "shed" },
} };

/** Answer to an acquire. */
struct acquire_answer {
    std::uint64_t callId = 0; ///< The request's callId.
    acquire_result result = acquire_result::Shed; ///< Decision of the owner.
    std::string endpoint; ///< Name of the endpoint; for a hop the destination zone.
    std::string address; ///< IP:port of the endpoint; empty for a hop.
    std::uint64_t reservation = 0; ///< Id of the reservation to release; 0 when nothing was granted.
    std::string reason; ///< Why the request was not granted, for people.
};

/** One grant of credit to another zone. */
struct credit_grant {
    std::uint32_t amount = 0; ///< Requests that may be in flight at the same time.
    time_point expiresAt {}; ///< No longer counts from here on.
};

/** Credit lent to one source zone. */
struct credit_lent {
    std::vector<credit_grant> grants; ///< Grants that may not have expired; the highest counts.
    std::uint32_t inUse = 0; ///< Requests of that zone in flight here.
};

/** Credit held towards one other zone. */
struct credit_held {
    std::uint32_t amount = 0; ///< Requests that may be in flight there at the same time.
    time_point expiresAt {}; ///< When it expires here, which is before it expires at the granter.
    std::uint32_t inUse = 0; ///< Hops in flight to that zone.
    time_point requestedAt {}; ///< When credit was last requested.
    std::uint32_t demand = 0; ///< Requests that could have used credit since then, those in flight included.
};

/** The pool of one service in this zone. */
struct pool_state {
    std::string service; ///< Name of the service.
    pool_role role = pool_role::Follower; ///< Role of this VM.
    std::uint64_t epoch = 0; ///< Number of the present ownership; rises with every change of owner.
    time_point roleSince {}; ///< When this VM took its role.
    std::set<std::string> awaitedPeers; ///< While recovering: peers that have not sent their reservations yet.
    milliseconds maxRequestLifetime { 2000 }; ///< Longest time from arrival to deadline, from the service.
    std::map<std::string, pool_endpoint> endpoints; ///< By name.
    std::map<std::uint64_t, reservation> reservations; ///< By id: the epoch in the upper 32 bits, lastReservation below.
    std::deque<acquire_request> queue; ///< Waiting requests, weight 2 first, then by arrival.
    std::map<std::string, credit_lent> creditsLent; ///< Credits lent to other zones, by source zone.
    std::map<std::string, credit_held> creditsHeld; ///< Credits held towards other zones, by destination zone.
    std::uint64_t lastReservation = 0; ///< Number of the latest reservation in this epoch.
    std::uint32_t localInflight = 0; ///< Slots reserved by requests of this zone; hops do not count.
    time_point lendNotBefore {}; ///< No credits are lent before this: those of the earlier owner may be in use.
    double localDemandPeak = 0; ///< Recent peak of local requests in flight and waiting; decays with every tick.
    pool_limits limits; ///< Limits and intervals.
};

} // namespace lhub
