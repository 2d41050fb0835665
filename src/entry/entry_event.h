/** @file entry_event.h Everything that happens to an entry VM, as data. */
#pragma once

#include "config/config_type.h"
#include "member/member_type.h"
#include "pool/pool_type.h"
#include "request/request_type.h"
#include <variant>

namespace lhub {

/** Time passed. */
struct tick { };

/** The agent delivered configuration. */
struct config_arrived {
    std::uint64_t revision = 0; ///< Everything up to here is held now.
    std::vector<keyed_object> objects; ///< What changed.
    milliseconds age { 0 }; ///< Time since the store's confirmation when the agent answered.
    time_point askedAt {}; ///< When the agent was asked.
};

/** A peer of the zone sent a heartbeat. */
struct heartbeat_arrived {
    peer_state said; ///< What it says of itself.
};

/** A peer of the zone answered a heartbeat. */
struct heartbeat_answered {
    peer_state said; ///< What it says of itself.
    time_point sentAt {}; ///< When our heartbeat was sent.
};

/** A peer's address refused a connection. */
struct peer_refused {
    std::string vm; ///< Which peer.
};

/** A peer asks for a slot. */
struct acquire_arrived {
    std::string service; ///< Which pool.
    acquire_request request; ///< What it asks for.
};

/** The owner of a pool answered an acquire of ours. */
struct acquire_answered {
    std::string service; ///< Which pool.
    std::string vm; ///< The owner that was asked.
    bool reached = false; ///< Whether an answer came.
    acquire_answer answer; ///< The answer; its callId is the request's id.
};

/** A peer gives a reservation back. */
struct release_arrived {
    std::string service; ///< Which pool.
    std::string vm; ///< Who held it.
    std::uint64_t reservation = 0; ///< Which one.
    std::string endpoint; ///< Where the request was dispatched.
    dispatch_outcome ended = dispatch_outcome::Whole; ///< How it ended.
    bool endpointLeaving = false; ///< The endpoint said that it is leaving.
};

/** A release of ours was answered or lost. */
struct release_answered {
    std::uint64_t reservation = 0; ///< Which one.
    bool reached = false; ///< Whether an answer came.
};

/** A reservation as it travels between owners. */
struct reservation_row {
    std::uint64_t id = 0; ///< Its id.
    std::string endpoint; ///< Whose slot.
    std::string vm; ///< Who dispatches.
    milliseconds left { 0 }; ///< Time until it lapses.
};

/** A peer asks to become the owner of a pool. */
struct take_over_arrived {
    std::uint64_t callId = 0; ///< Names the answer.
    std::string service; ///< Which pool.
    std::string vm; ///< Who asks.
};

/** The owner of a pool answered our take-over. */
struct take_over_answered {
    std::string service; ///< Which pool.
    std::string vm; ///< The owner that was asked.
    bool handedOver = false; ///< Whether it gave up the pool.
    std::uint64_t epoch = 0; ///< Its epoch.
    std::vector<reservation_row> reservations; ///< What it had granted.
};

/** A new owner asks which reservations this VM holds. */
struct held_arrived {
    std::uint64_t callId = 0; ///< Names the answer.
    std::string service; ///< Which pool.
};

/** A peer says which reservations it holds. */
struct held_answered {
    std::string service; ///< Which pool.
    std::string vm; ///< Who was asked.
    std::vector<reservation_row> reservations; ///< What it holds.
};

/** Another zone asks for credit. */
struct credit_arrived {
    std::uint64_t callId = 0; ///< Names the answer.
    std::string service; ///< Which pool.
    std::string sourceZone; ///< Who asks.
    std::uint32_t wanted = 0; ///< Concurrent requests.
};

/** Another zone answered a credit request. */
struct credit_answered {
    std::string service; ///< Which pool.
    std::string zone; ///< Who was asked.
    bool owner = false; ///< Whether the asked VM owns the pool there.
    std::uint32_t granted = 0; ///< Concurrent requests.
    milliseconds valid { 0 }; ///< Lifetime at the granter.
    time_point sentAt {}; ///< When it was asked.
};

/** Another zone asks for a part of this zone's share of a shift. */
struct lend_arrived {
    std::uint64_t callId = 0; ///< Names the answer.
    std::string service; ///< The shift's service.
    std::string shift; ///< Which shift.
    std::string zone; ///< Who asks.
    std::uint32_t wanted = 0; ///< Moves a second.
    std::uint32_t capPerSecond = 0; ///< Cap that the asker has in force.
};

/** Another zone answered a request for a loan. */
struct lend_answered {
    std::string service; ///< The shift's service.
    std::string shift; ///< Which shift.
    std::string zone; ///< Who was asked.
    bool owner = false; ///< Whether the asked VM owns the pool there.
    std::uint32_t granted = 0; ///< Moves a second.
    milliseconds valid { 0 }; ///< Lifetime at the lender.
    std::uint32_t capPerSecond = 0; ///< Cap under which it was asked.
    time_point sentAt {}; ///< When it was asked.
};

/** A caller's request arrived, or a hop of another zone. */
struct request_arrived {
    request_state request; ///< As far as its head says; phase and verdict are at their start.
};

/** How the claim of an idempotency key ended. */
enum class claim_result {
    Unknown, ///< The store did not say.
    First, ///< This request owns the key.
    Repeated, ///< Another request did before.
};

/** Names of claim results. */
inline constexpr std::array<name_row<claim_result>, 3> ClaimResultNames { {
    { claim_result::Unknown, "unknown" },
    { claim_result::First, "first" },
    { claim_result::Repeated, "repeated" },
} };

/** The agent answered a claim. */
struct claim_answered {
    std::uint64_t id = 0; ///< Which request.
    claim_result result = claim_result::Unknown; ///< How it ended.
    std::uint64_t version = 0; ///< Version of the claim in the store; 0 for a claim at a home.
    verdict known = verdict::MayHaveRun; ///< Of the request that owns the key, when repeated.
};

/** A peer claims a key whose home this VM is. */
struct key_claim_arrived {
    std::uint64_t callId = 0; ///< Names the answer.
    std::string key; ///< The key.
    std::string requestId; ///< Who claims.
};

/** A peer says how the request that owns a key ended. */
struct key_settled {
    std::string key; ///< The key.
    std::string requestId; ///< Who owns it.
    verdict known = verdict::MayHaveRun; ///< What is known of the request.
};

/** A dispatch ended. */
struct dispatch_ended {
    std::uint64_t id = 0; ///< Which request.
    dispatch_outcome ended = dispatch_outcome::Whole; ///< How.
    bool replayable = false; ///< Whether it can be sent again: body kept, nothing relayed.
    bool endpointLeaving = false; ///< The endpoint said that it is leaving.
};

/** A caller closed its connection while its request was not dispatched. */
struct caller_left {
    std::uint64_t id = 0; ///< Which request.
};

/** A probe of an endpoint ended. */
struct probe_ended {
    std::string service; ///< Which pool.
    std::string endpoint; ///< Which endpoint.
    bool answered = false; ///< Whether a right answer came.
    bool leaving = false; ///< What it says of itself.
    std::uint32_t inflight = 0; ///< What it says of its load.
};

/** The process was asked to stop. */
struct stop_asked { };

/** Any event. */
using entry_event = std::variant<tick, config_arrived, heartbeat_arrived, heartbeat_answered, peer_refused,
    acquire_arrived, acquire_answered, release_arrived, release_answered, take_over_arrived, take_over_answered,
    held_arrived, held_answered, credit_arrived, credit_answered, lend_arrived, lend_answered, request_arrived, claim_answered, key_claim_arrived, key_settled, dispatch_ended,
    caller_left, probe_ended, stop_asked>;

/** An event with its time. */
struct timed_event {
    time_point now {}; ///< When it happened, on this VM's clock.
    entry_event event; ///< What happened.
};

} // namespace lhub
