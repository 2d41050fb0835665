/** @file pool_type.h The pool: all endpoints of one service in one zone, admitted to by one owner. */
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

/** Bounds of a pool. */
struct pool_limits {
    std::uint32_t queuePerSlot = 2; ///< Waiting requests per usable slot.
    std::uint32_t smallestQueue = 4; ///< Bound of the queue of a tiny pool.
    milliseconds warmUp { 2000 }; ///< A cold endpoint gets its slots one by one over this time.
    milliseconds lapseGuard { 1000 }; ///< A reservation lapses at the owner this long after its deadline.
    std::uint32_t failuresToEject = 3; ///< Failures in a row, from at least two sources.
    milliseconds ejectionTime { 5000 }; ///< How long an ejected endpoint rests.
    std::uint32_t ejectedPercent = 34; ///< Most endpoints ejected at once, in percent.
    std::uint32_t reservePercent = 10; ///< Part of the usable slots that is never lent to other zones.
    milliseconds creditTime { 2000 }; ///< A credit lapses at the granter after this.
    std::uint32_t creditHeldPercent = 90; ///< Part of creditTime after which it lapses at the holder.
    milliseconds creditEvery { 500 }; ///< Time between two credit requests to one zone.
    std::uint32_t busyPercent = 80; ///< Part of the slots in use above which credits are asked for.
};

/** What this VM is to a pool. */
enum class pool_role {
    Follower, ///< Another VM owns it, or nobody yet.
    TakingOver, ///< Asked the present owner for a hand-over.
    Recovering, ///< The owner died: asks all peers which reservations they hold.
    Owner, ///< Admits.
};

/** Names of roles in logs and traces. */
inline constexpr std::array<name_row<pool_role>, 4> PoolRoleNames { {
    { pool_role::Follower, "follower" },
    { pool_role::TakingOver, "taking_over" },
    { pool_role::Recovering, "recovering" },
    { pool_role::Owner, "owner" },
} };

/** One endpoint, as its pool's owner sees it. */
struct pool_endpoint {
    std::string address; ///< IP:port.
    std::uint32_t slots = 0; ///< Requests at the same time.
    std::uint32_t inflight = 0; ///< Reservations that name it.
    std::uint32_t unknown = 0; ///< Slots that a dead owner may have given away.
    time_point unknownUntil {}; ///< When they are free again at the latest.
    bool drained = false; ///< A drain in the configuration covers it.
    bool leaving = false; ///< It said so itself.
    time_point ejectedUntil {}; ///< No requests before this.
    time_point appeared {}; ///< When the configuration first named it.
    time_point warmFrom {}; ///< When it got its first request after being cold.
    bool cold = true; ///< No request yet since it appeared.
    std::uint32_t failures = 0; ///< Failures in a row.
    std::set<std::string> failureSources; ///< Who saw them: VM names, or "probe".
    std::uint64_t lastGrant = 0; ///< Number of the last grant, to go round among equals.
};

/** A slot given to one request. */
struct reservation {
    std::string endpoint; ///< Whose slot; for a hop the zone.
    std::string vm; ///< VM that dispatches.
    time_point lapses {}; ///< When the owner takes it back at the latest.
    std::string sourceZone; ///< Zone under whose credit it came; empty for local ones.
    bool hop = false; ///< It is a credit in use towards another zone, not a slot here.
};

/** A request for a slot. */
struct acquire_request {
    std::uint64_t callId = 0; ///< Names the answer.
    std::string requestId; ///< For logs.
    std::string vm; ///< VM that will dispatch.
    time_point deadline {}; ///< No use after this.
    std::uint32_t weight = 1; ///< 2 goes before 1.
    std::vector<std::string> avoid; ///< Endpoints and zones already tried.
    std::string sourceZone; ///< Zone under whose credit it comes; empty for local ones.
    bool mayMove = false; ///< Whether it may be sent to another zone.
};

/** How an acquire ended. */
enum class acquire_result {
    NotOwner, ///< Ask another VM.
    Granted, ///< A slot of an endpoint here.
    Hop, ///< A credit towards another zone.
    Shed, ///< Refused: nothing ran.
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
    std::uint64_t callId = 0; ///< Of the request.
    acquire_result result = acquire_result::Shed; ///< How it ended.
    std::string endpoint; ///< Name of the endpoint, or the zone of a hop.
    std::string address; ///< Of the endpoint.
    std::uint64_t reservation = 0; ///< To be released.
    std::string reason; ///< For people, when shed.
};

/** One amount of credit with its end. */
struct credit_grant {
    std::uint32_t amount = 0; ///< Concurrent requests.
    time_point lapses {}; ///< Void from here on.
};

/** Credit lent to one source zone. */
struct credit_lent {
    std::vector<credit_grant> grants; ///< Unlapsed grants; the highest counts.
    std::uint32_t inUse = 0; ///< Requests in flight here under it.
};

/** Credit held towards one other zone. */
struct credit_held {
    std::uint32_t amount = 0; ///< Concurrent requests.
    time_point lapses {}; ///< Void from here on; before it is void at the granter.
    std::uint32_t inUse = 0; ///< Hops in flight.
    time_point asked {}; ///< When it was last asked for.
    std::uint32_t wanted = 0; ///< Demand seen since then.
};

/** The pool of one service in this zone. */
struct pool_state {
    std::string service; ///< Which service.
    pool_role role = pool_role::Follower; ///< What this VM is to it.
    std::uint64_t epoch = 0; ///< Number of the ownership; rises with every change.
    time_point since {}; ///< When the role began.
    std::set<std::string> asked; ///< Peers whose held reservations are still to come.
    milliseconds longestLife { 2000 }; ///< Longest life of a request.
    std::map<std::string, pool_endpoint> endpoints; ///< By name.
    std::map<std::uint64_t, reservation> reservations; ///< By id.
    std::deque<acquire_request> queue; ///< Waiting requests, weight 2 first.
    std::map<std::string, credit_lent> lent; ///< By source zone.
    std::map<std::string, credit_held> held; ///< By destination zone.
    std::uint64_t lastReservation = 0; ///< Number of the last one in this epoch.
    std::uint32_t localInflight = 0; ///< Reservations of local requests, hops not counted.
    time_point lendFrom {}; ///< Nothing is lent before this: an earlier owner's credits may still be in use.
    double localDemand = 0; ///< Recent peak of local in flight and waiting; falls slowly.
    pool_limits limits; ///< Bounds.
};

} // namespace lhub
