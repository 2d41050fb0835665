/** @file gate_event.h What happens to an entry VM, and what it does about it, as data. */
#pragma once

#include "gate/gate_type.h"
#include <variant>

namespace lhub {

/** A configuration was read. */
struct config_seen {
    std::shared_ptr<const route_table> table; ///< Indexed.
    std::uint64_t revision = 0; ///< Of the store.
};

/** An endpoint's entry was read. */
struct endpoint_seen {
    endpoint_entry entry; ///< As it says.
};

/** An endpoint's entry is gone. */
struct endpoint_gone {
    std::string id; ///< Identity.
};

/** The first whole list of endpoints was read. */
struct endpoints_listed {
};

/** The evacuated zones, all of them. */
struct evacuations_seen {
    std::set<std::string> zones; ///< Those that get nothing.
};

/** A caller's request, its body read. */
struct request_seen {
    std::uint64_t id = 0; ///< Identity, unique in the process.
    std::string callerId; ///< As sent; empty when missing.
    std::string host; ///< As sent.
    std::string target; ///< Path and query.
    std::string object; ///< What the request is about; empty when it says nothing.
    milliseconds patience { 0 }; ///< How long the caller waits; 0 when it does not say.
};

/** How an attempt ended, with what the endpoint said. */
struct attempt_seen {
    std::uint64_t request = 0; ///< The request.
    std::uint64_t attempt = 0; ///< The attempt.
    dispatch_outcome outcome = dispatch_outcome::Lost; ///< How it ended; Whole: a head and the body, or a first part of it.
    unsigned status = 0; ///< HTTP status when there was a head.
    bool misdirected = false; ///< Another endpoint has the address.
    bool reported = false; ///< It told its load.
    double running = 0; ///< Requests running there.
    double waiting = 0; ///< Requests waiting there.
    double slots = 0; ///< Its slots.
    milliseconds coldLeft { 0 }; ///< How much longer it is cold, when it said so.
    bool forgotten = false; ///< It was sent on a kept connection that turned out to be gone; not a byte came back.
    std::string reason; ///< For people.
};

/** The caller closed its connection. */
struct caller_gone {
    std::uint64_t request = 0; ///< The request.
};

/** A time asked for by wake_request has come. */
struct request_woken {
    std::uint64_t request = 0; ///< The request.
};

/** A graceful stop begins. */
struct stop_requested {
};

using gate_event = std::variant<config_seen, endpoint_seen, endpoint_gone, endpoints_listed, evacuations_seen,
    request_seen, attempt_seen, caller_gone, request_woken, stop_requested>;

/** Send the request to an endpoint. */
struct send_attempt {
    std::uint64_t request = 0; ///< The request.
    std::uint64_t attempt = 0; ///< Identity of the attempt.
    std::string endpoint; ///< Identity that the endpoint must have.
    std::string address; ///< Where it listens.
    time_point deadline {}; ///< What is left of the time is passed on.
    milliseconds connectTime { 0 }; ///< Longest time to connect.
    milliseconds roundTrip { 0 }; ///< Usual round trip to the endpoint.
    bool repeatable = false; ///< Whether the request may run more than once.
};

/** Relay the answer of an attempt. */
struct relay_answer {
    std::uint64_t request = 0; ///< The request.
    std::uint64_t attempt = 0; ///< Whose answer.
};

/** Answer the caller ourselves. */
struct answer_request {
    std::uint64_t request = 0; ///< The request.
    unsigned status = 503; ///< HTTP status.
    milliseconds retryAfter { 0 }; ///< When to come back; 0 for none.
    std::string_view reason; ///< For people and logs; static.
};

/** Stop an attempt: its answer is not needed. */
struct cancel_attempt {
    std::uint64_t request = 0; ///< The request.
    std::uint64_t attempt = 0; ///< Which.
};

/** Close the kept connections to an endpoint: they may lead nowhere. */
struct drop_connections {
    std::string address; ///< Of the endpoint.
};

/** Feed request_woken at a time. */
struct wake_request {
    std::uint64_t request = 0; ///< The request.
    time_point at {}; ///< When.
};

/** One structured line for the log. */
struct log_line {
    std::string_view event; ///< What happened; static.
    std::vector<std::pair<std::string_view, std::string>> fields; ///< Inputs and outcome.
};

using gate_effect = std::variant<send_attempt, relay_answer, answer_request, cancel_attempt, drop_connections,
    wake_request, log_line>;
using gate_effects = std::vector<gate_effect>;

} // namespace lhub
