/** @file pool_func.h Decisions of a pool's owner. Pure functions of state and time; answers are appended to a list. */
#pragma once

#include "pool/pool_type.h"
#include <optional>

namespace lhub {

// -- admission (pool.cpp)

/** Slots of endpoints that are neither leaving, drained nor ejected, less the unaccounted ones. */
std::uint32_t usableSlots(const pool_state& pool, time_point now);

/** Slots set aside for the credits lent to other zones: in use there or still usable. */
std::uint32_t slotsLent(const pool_state& pool, time_point now);

/**
 * The endpoint for the next request: the one with the fewest requests in flight per slot among those that may serve
 * and have a free slot.
 * @param avoid endpoints that are left out.
 * @return its name; empty when there is none.
 */
std::string chooseEndpoint(const pool_state& pool, const std::vector<std::string>& avoid, time_point now);

/**
 * Handles a request for a slot: answers it at once, or queues it. A request of another zone is never queued.
 * Precondition: this VM is the owner.
 * @param answers receives the answer, and that of a queued request which this one displaced.
 */
void acquireSlot(pool_state& pool, acquire_request request, time_point now, std::vector<acquire_answer>& answers);

/**
 * Queues a request without trying to grant it a slot. A full queue refuses it, or the last one waiting if that has
 * less weight.
 */
void enqueueRequest(pool_state& pool, acquire_request request, time_point now, std::vector<acquire_answer>& answers);

/** Expires old reservations, refuses waiting requests whose deadline has passed, grants free slots to the others. */
void serveQueue(pool_state& pool, time_point now, std::vector<acquire_answer>& answers);

/** Empties the queue: answers every waiting request with @p result. */
void flushQueue(pool_state& pool, acquire_result result, std::vector<acquire_answer>& answers);

/** Releases a reservation. An unknown id is ignored: the reservation was released before or has expired. */
void releaseSlot(pool_state& pool, std::uint64_t id);

/** Adds a reservation, a new one or one that an earlier owner granted. A known id is ignored. */
void addReservation(pool_state& pool, std::uint64_t id, const reservation& reserved);

// -- health (pool_health.cpp)

/**
 * Records the result of a request or probe, and ejects an endpoint after too many failures.
 * @param source VM that dispatched the request, or "probe".
 */
void recordEndpointResult(
    pool_state& pool, const std::string& endpoint, bool failed, const std::string& source, time_point now);

/**
 * Records the answer to a probe.
 * @param inflight load that the endpoint reports. It can lower the number of unaccounted slots, but never the number
 * of reservations counted here.
 */
void recordProbe(pool_state& pool, const std::string& endpoint, bool leaving, std::uint32_t inflight, time_point now);

/** For a new owner, which does not know which endpoints are warm: those configured for longer than a warm-up are. */
void assumeWarm(pool_state& pool, time_point now);

/** Counts every free slot as unaccounted until all requests that an earlier owner admitted must have ended. */
void markFreeSlotsUnaccounted(pool_state& pool, time_point now);

// -- credits (pool_credit.cpp)

/** Requests that the zone may have in flight by the grants that have not expired. */
std::uint32_t unexpiredCredit(const credit_lent& credit, time_point now);

/**
 * Grants credit to another zone. Precondition: this VM is the owner.
 * @param wanted requests in flight at the same time.
 * @return the amount granted, at most @p wanted; 0 when no slot is to spare.
 */
std::uint32_t lendCredit(pool_state& pool, const std::string& zone, std::uint32_t wanted, time_point now);

/**
 * Records a credit that another zone granted. An answer to an older request than the last one recorded is ignored.
 * @param valid lifetime of the credit at the granter.
 * @param sentAt when the credit was requested; its lifetime counts from here.
 */
void recordCredit(
    pool_state& pool, const std::string& zone, std::uint32_t amount, milliseconds valid, time_point sentAt);

/** Reserves a credit towards @p zone. @return the id of the reservation; nothing when no credit is left. */
std::optional<std::uint64_t> reserveCredit(
    pool_state& pool, const std::string& zone, const acquire_request& request, time_point now);

/**
 * Checks whether a credit request to @p zone is due, and if so, records that it is sent now.
 * @return the amount to request: the demand, but at most twice the credit held plus 4, and at least one more than is
 * in use; nothing when none is due.
 */
std::optional<std::uint32_t> nextCreditRequest(pool_state& pool, const std::string& zone, time_point now);

} // namespace lhub
