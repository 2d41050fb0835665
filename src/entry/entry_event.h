/** @file entry_event.h Events of the reducer, as data: what happens to an entry VM. Traces record them. */
#pragma once

#include "config/config_type.h"
#include "member/member_type.h"
#include "pool/pool_type.h"
#include "request/request_type.h"
#include <variant>

namespace lhub {

/** Time passed; sent by the shell at short regular intervals. */
struct tick { };

/** The agent delivered configuration. */
struct config_arrived {
    std::uint64_t revision = 0; ///< With this event, this VM has every change up to this revision.
    std::vector<keyed_object> objects; ///< Objects that changed.
    milliseconds age { 0 }; ///< Time from the store's last confirmation of the configuration to the agent's answer.
    time_point askedAt {}; ///< When this VM asked the agent.
};

/** A peer of the zone sent a heartbeat. */
struct heartbeat_arrived {
    peer_state said; ///< The peer's state as it reports it.
};

/** A peer of the zone answered a heartbeat. */
struct heartbeat_answered {
    peer_state said; ///< The peer's state as it reports it.
    time_point sentAt {}; ///< When our heartbeat was sent.
};

/** A peer's address refused a connection. */
struct peer_refused {
    std::string vm; ///< Name of the peer.
};

/** A peer asks for a slot. */
struct acquire_arrived {
    std::string service; ///< Service of the pool.
    acquire_request request; ///< What it asks for; callId identifies the answer.
};

/** The owner of a pool answered an acquire of this VM. */
struct acquire_answered {
    std::string service; ///< Service of the pool.
    std::string vm; ///< The owner that was asked.
    bool reached = false; ///< Whether an answer arrived.
    acquire_answer answer; ///< The answer; its callId is the id of the local request, also without an answer.
};

/** A peer releases a reservation. */
struct release_arrived {
    std::string service; ///< Service of the pool.
    std::string vm; ///< VM whose request held it.
    std::uint64_t reservation = 0; ///< Id of the reservation.
    std::string endpoint; ///< Endpoint to which the request was sent; for a hop the zone.
    dispatch_outcome ended = dispatch_outcome::Whole; ///< How the dispatch ended.
    bool endpointLeaving = false; ///< Whether the endpoint's answer said that it is leaving.
};

/** The owner of a pool answered a release of this VM, or the call failed. */
struct release_answered {
    std::uint64_t reservation = 0; ///< Id of the reservation.
    bool reached = false; ///< Whether an answer arrived.
};

/** A reservation as it is sent between VMs when a pool changes its owner. */
struct reservation_row {
    std::uint64_t id = 0; ///< Id of the reservation.
    std::string endpoint; ///< Endpoint whose slot it is.
    std::string vm; ///< VM that dispatches the request.
    milliseconds left { 0 }; ///< Time until it expires.
};

/** A peer asks to become the owner of a pool. */
struct take_over_arrived {
    std::uint64_t callId = 0; ///< Identifies the answer.
    std::string service; ///< Service of the pool.
    std::string vm; ///< The peer that asks.
};

/** The owner of a pool answered our take-over, or the call failed. */
struct take_over_answered {
    std::string service; ///< Service of the pool.
    std::string vm; ///< The owner that was asked.
    bool handedOver = false; ///< Whether it gave up the pool; false when the call failed.
    std::uint64_t epoch = 0; ///< Epoch of the ownership that ended.
    std::vector<reservation_row> reservations; ///< Those that it had granted.
};

/** A new owner asks which reservations this VM's requests hold. */
struct held_arrived {
    std::uint64_t callId = 0; ///< Identifies the answer.
    std::string service; ///< Service of the pool.
};

/** A peer answered which reservations its requests hold. */
struct held_answered {
    std::string service; ///< Service of the pool.
    std::string vm; ///< The peer that was asked.
    std::vector<reservation_row> reservations; ///< Those that it holds.
};

/** Another zone asks for credit. */
struct credit_arrived {
    std::uint64_t callId = 0; ///< Identifies the answer.
    std::string service; ///< Service of the pool.
    std::string sourceZone; ///< Zone that asks.
    std::uint32_t wanted = 0; ///< Requests in flight at the same time.
};

/** Another zone answered a credit request of this VM, or the call failed. */
struct credit_answered {
    std::string service; ///< Service of the pool.
    std::string zone; ///< Zone that was asked.
    bool owner = false; ///< Whether the VM that was asked owns the pool there; false when the call failed.
    std::uint32_t granted = 0; ///< Requests in flight at the same time.
    milliseconds valid { 0 }; ///< Lifetime at the granter.
    time_point sentAt {}; ///< When the request was sent.
};

/** Another zone asks for a part of this zone's share of a shift's cap. */
struct lend_arrived {
    std::uint64_t callId = 0; ///< Identifies the answer.
    std::string service; ///< The shift's service.
    std::string shift; ///< Name of the shift.
    std::string zone; ///< Zone that asks.
    std::uint32_t wanted = 0; ///< Moves a second.
    std::uint32_t capPerSecond = 0; ///< Cap of the shift by the configuration of the zone that asks.
};

/** Another zone answered a loan request of this VM, or the call failed. */
struct lend_answered {
    std::string service; ///< The shift's service.
    std::string shift; ///< Name of the shift.
    std::string zone; ///< Zone that was asked.
    bool owner = false; ///< Whether the VM that was asked owns the pool there; false when the call failed.
    std::uint32_t granted = 0; ///< Moves a second.
    milliseconds valid { 0 }; ///< Lifetime at the lender.
    std::uint32_t capPerSecond = 0; ///< Cap that the request stated.
    time_point sentAt {}; ///< When the request was sent.
};

/** A request arrived from a caller, or as a hop from another zone. */
struct request_arrived {
    request_state request; ///< The members that its head states; the others have their default values.
};

/** Result of the claim of an idempotency key. */
enum class claim_result {
    Unknown, ///< Not determined: another request with this key may have run.
    First, ///< This request owns the key.
    Repeated, ///< Another request owns the key.
};

/** Names of claim results. */
inline constexpr std::array<name_row<claim_result>, 3> ClaimResultNames { {
    { claim_result::Unknown, "unknown" },
    { claim_result::First, "first" },
    { claim_result::Repeated, "repeated" },
} };

/** A claim of this VM was answered, by the agent or the key's home, or the call failed. */
struct claim_answered {
    std::uint64_t id = 0; ///< Id of the request.
    claim_result result = claim_result::Unknown; ///< Unknown when the call failed.
    std::uint64_t version = 0; ///< Version of the claim in the store; 0 for a claim at a home.
    verdict known = verdict::MayHaveRun; ///< Whether the request that owns the key ran, when repeated.
};

/** A peer claims a key whose home this VM is. */
struct key_claim_arrived {
    std::uint64_t callId = 0; ///< Identifies the answer.
    std::string key; ///< The key.
    std::string requestId; ///< Claimant, as in send_claim.
};

/** A peer reports whether the request that owns a key, whose home this VM is, ran. */
struct key_settled {
    std::string key; ///< The key.
    std::string requestId; ///< Claimant that owns the key.
    verdict known = verdict::MayHaveRun; ///< Whether that request ran.
};

/** A dispatch of a request ended. */
struct dispatch_ended {
    std::uint64_t id = 0; ///< Id of the request.
    dispatch_outcome ended = dispatch_outcome::Whole; ///< How the dispatch ended.
    bool replayable = false; ///< Whether the request can be sent again: its body was kept, no answer was relayed.
    bool endpointLeaving = false; ///< Whether the endpoint's answer said that it is leaving.
};

/** A caller closed its connection. Ignored while its request is dispatched: dispatch_ended reports that. */
struct caller_left {
    std::uint64_t id = 0; ///< Id of the request.
};

/** A probe of an endpoint ended. */
struct probe_ended {
    std::string service; ///< Service of the pool.
    std::string endpoint; ///< Name of the endpoint.
    bool answered = false; ///< Whether a valid answer arrived.
    bool leaving = false; ///< Whether the endpoint reports that it is leaving.
    std::uint32_t inflight = 0; ///< Requests in flight that the endpoint reports.
};

/** The process was asked to stop gracefully. */
struct stop_asked { };

/** Any event. */
using entry_event = std::variant<tick, config_arrived, heartbeat_arrived, heartbeat_answered, peer_refused,
    acquire_arrived, acquire_answered, release_arrived, release_answered, take_over_arrived, take_over_answered,
    held_arrived, held_answered, credit_arrived, credit_answered, lend_arrived, lend_answered, request_arrived, claim_answered, key_claim_arrived, key_settled, dispatch_ended,
    caller_left, probe_ended, stop_asked>;

/** An event with its time. */
struct timed_event {
    time_point now {}; ///< When it was handed to the reducer, on this VM's clock.
    entry_event event; ///< The event.
};

} // namespace lhub
