/** @file pool_func.h Decisions of a pool's owner. All pure: time comes in, answers go out. */
#pragma once

#include "pool/pool_type.h"
#include <optional>

namespace lhub {

// -- admission (pool.cpp)

/** Slots that may be used now: of endpoints that are neither leaving, drained nor ejected, less unknown ones. */
std::uint32_t usableSlots(const pool_state& pool, time_point now);

/** Slots kept free for the credits lent to other zones. */
std::uint32_t slotsLent(const pool_state& pool, time_point now);

/** The endpoint for the next request: fewest in flight per slot among those that may serve; empty when none may. */
std::string chooseEndpoint(const pool_state& pool, const std::vector<std::string>& avoid, time_point now);

/**
 * Takes a request for a slot. It is answered at once, or waits in the bounded queue.
 * Precondition: this VM is the owner.
 */
void acquireSlot(pool_state& pool, acquire_request request, time_point now, std::vector<acquire_answer>& answers);

/** Lets a request wait in the bounded queue without giving it a slot now. */
void queueRequest(pool_state& pool, acquire_request request, time_point now, std::vector<acquire_answer>& answers);

/** Gives slots to waiting requests, refuses those whose deadline has passed, lapses old reservations. */
void servePool(pool_state& pool, time_point now, std::vector<acquire_answer>& answers);

/** Refuses all waiting requests with @p result. */
void clearQueue(pool_state& pool, acquire_result result, std::vector<acquire_answer>& answers);

/** Gives a reservation back. Unknown ids are ignored: it was given back before. */
void releaseSlot(pool_state& pool, std::uint64_t id);

/** Adds a reservation that an earlier owner gave. */
void restoreReservation(pool_state& pool, std::uint64_t id, const reservation& held);

// -- health (pool_health.cpp)

/** An attempt at the endpoint ended; @p source is the VM that made it, or "probe". */
void noteEndpointResult(
    pool_state& pool, const std::string& endpoint, bool failed, const std::string& source, time_point now);

/** A probe's answer: what the endpoint says of itself. Its report may only lower what it gets. */
void noteProbe(pool_state& pool, const std::string& endpoint, bool leaving, std::uint32_t inflight, time_point now);

/** A new owner does not know who is warm: endpoints that have been there for longer than a warm-up count as warm. */
void assumeWarm(pool_state& pool, time_point now);

/** Treats every free slot as given away by an unknown owner, until a request's longest life has passed. */
void distrustFreeSlots(pool_state& pool, time_point now);

// -- credits (pool_credit.cpp)

/** Most that the zone may have in flight under the credits lent to it. */
std::uint32_t lentTo(const credit_lent& lent, time_point now);

/** Lends concurrent requests to a source zone; 0 when there is no headroom. Precondition: this VM is the owner. */
std::uint32_t lendCredit(pool_state& pool, const std::string& zone, std::uint32_t wanted, time_point now);

/** Takes note of a credit that another zone granted to a request sent at @p sentAt. */
void holdCredit(
    pool_state& pool, const std::string& zone, std::uint32_t amount, milliseconds valid, time_point sentAt);

/** Takes one credit towards @p zone; the reservation's id, or nothing when there is none left. */
std::optional<std::uint64_t> takeCredit(
    pool_state& pool, const std::string& zone, const acquire_request& request, time_point now);

/** Whether credits towards @p zone should be asked for now; notes that they are. */
std::optional<std::uint32_t> wantedCredit(pool_state& pool, const std::string& zone, time_point now);

} // namespace lhub
