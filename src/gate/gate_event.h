/** @file gate_event.h Events that the reducer of lhub-gate receives, and effects that it asks the shell to carry out. */
#pragma once

#include "gate/gate_type.h"
#include <variant>

namespace lhub {

/** A configuration was read. */
struct config_received {
    std::shared_ptr<const route_table> table; ///< The configuration with its index.
    std::uint64_t revision = 0; ///< Store revision that it was read at.
};

/** The registration of an endpoint was read: a new one, or a change. */
struct endpoint_updated {
    endpoint_registration entry; ///< The registration.
};

/** The registration of an endpoint was deleted. */
struct endpoint_removed {
    std::string id; ///< Identity of the endpoint.
};

/** A complete list of endpoints was read; its endpoint_updated events came before. Only the first one has an effect. */
struct endpoints_listed {
};

/** The set of evacuated zones changed. */
struct evacuations_updated {
    std::set<std::string> zones; ///< All evacuated zones; their endpoints get no requests.
};

/** The store was restored from an older snapshot: the objects that are read next may be older than those known. */
struct store_restored {
};

/** A caller's request was received, with its body. */
struct request_received {
    std::uint64_t id = 0; ///< Unique within the process.
    std::string callerRequestId; ///< Request id that the caller sent; empty when missing.
    std::string host; ///< Host header as sent.
    std::string target; ///< Path and query.
    std::string object; ///< Object that the request is about, from its affinity key; empty when it names none.
    milliseconds callerTimeout { 0 }; ///< Time that the caller allows for the response; 0 when it sent none.
    std::string key; ///< Key of the caller's customer; empty when it sent none. Secret: not for logs.
    std::uint64_t bodyBytes = 0; ///< Size of its body.
};

/** An attempt ended. Carries what the endpoint reported in its response. */
struct attempt_ended {
    std::uint64_t request = 0; ///< Id of the request.
    std::uint64_t attempt = 0; ///< Id of the attempt.
    dispatch_outcome outcome = dispatch_outcome::NoResponse; ///< Whole means here: the response head and the body, or the first part of a large body.
    unsigned status = 0; ///< HTTP status; 0 when no response head was received.
    bool misdirected = false; ///< Another endpoint has this address now.
    bool loadReported = false; ///< The response contained a load report: running, waiting and slots are valid.
    double running = 0; ///< Requests that the endpoint is processing.
    double waiting = 0; ///< Requests in the endpoint's queue.
    double slots = 0; ///< Requests that the endpoint can process at the same time.
    std::optional<double> workFactor; ///< Processing times on the endpoint's machine now, relative to the usual ones; empty when not reported.
    milliseconds coldLeft { 0 }; ///< Remaining cold time of the endpoint; 0 when it reported none.
    std::optional<self_report> report; ///< What the endpoint says about itself; empty without a response of it to this request.
    bool staleConnection = false; ///< It was sent on a reused idle connection that was stale: the connection ended without a byte of response.
    time_point::duration connectTook {}; ///< Time of the connect that succeeded; 0 when a kept connection was used.
    bool connectTimedOut = false; ///< The connect took longer than send_attempt::connectTimeout.
    std::string reason; ///< Explanation for the log.
};

/** Another VM sent updates about what endpoints have said about themselves. */
struct report_updates_received {
    std::vector<report_update> updates; ///< As received.
};

/** Another VM sent levels of the paces of endpoints. */
struct pace_updates_received {
    std::vector<pace_update> updates; ///< As received.
};

/** The caller closed its connection. */
struct caller_gone {
    std::uint64_t request = 0; ///< Id of the request.
};

/** The timer that set_request_timer had set expired. */
struct request_timer_expired {
    std::uint64_t request = 0; ///< Id of the request.
};

/** A message about quotas arrived from another VM. */
struct quota_message_received {
    quota_message message; ///< As received.
};

/** A round of quotas is due, every QuotaRound while a customer has a quota. */
struct quota_round_due {
};

/** A graceful stop begins. */
struct stop_requested {
    time_point respondUntil {}; ///< When the response to the last request must be known.
};

using gate_event = std::variant<config_received, endpoint_updated, endpoint_removed, endpoints_listed, evacuations_updated,
    request_received, attempt_ended, report_updates_received, caller_gone, request_timer_expired, stop_requested, pace_updates_received,
    quota_message_received, quota_round_due, store_restored>;

/** Send the request to an endpoint. */
struct send_attempt {
    std::uint64_t request = 0; ///< Id of the request.
    std::uint64_t attempt = 0; ///< Id of the attempt.
    std::string endpoint; ///< Identity that the endpoint must have.
    std::string address; ///< Address of the endpoint, IP:port.
    time_point deadline {}; ///< Deadline of the request; the endpoint is told the time that remains.
    milliseconds connectTimeout { 0 }; ///< Timeout for the connection.
    milliseconds roundTrip { 0 }; ///< Expected network round trip; 0 within the region.
    bool repeatable = false; ///< Whether the request may run more than once.
    std::optional<std::string> customer; ///< Name of the customer, empty on public routes; nothing when the configuration has no customers.
};

/** Relay the response of an attempt to the caller. */
struct relay_response {
    std::uint64_t request = 0; ///< Id of the request.
    std::uint64_t attempt = 0; ///< Id of the attempt whose response is relayed.
};

/** Respond to the caller without relaying an endpoint's response. */
struct send_response {
    std::uint64_t request = 0; ///< Id of the request.
    unsigned status = 503; ///< HTTP status.
    milliseconds retryAfter { 0 }; ///< Delay after which the caller may retry; 0 for none.
    std::string_view reason; ///< Sent to the caller and logged; refers to static storage.
};

/** Cancel an attempt whose response is no longer needed. */
struct cancel_attempt {
    std::uint64_t request = 0; ///< Id of the request.
    std::uint64_t attempt = 0; ///< Id of the attempt.
};

/** Close the idle connections to an endpoint, since they may be stale. */
struct drop_connections {
    std::string address; ///< Address of the endpoint, IP:port.
};

/** Set the request's timer, which replaces an earlier setting; request_timer_expired is fed when it expires. */
struct set_request_timer {
    std::uint64_t request = 0; ///< Id of the request.
    time_point at {}; ///< Time of expiry.
};

/** Send a datagram to the gossip port of another VM. */
struct send_datagram {
    std::string ip; ///< IP of the VM.
    std::string text; ///< The message.
};

/** Write one structured line to the log. */
struct log_line {
    std::string_view event; ///< Name of the log event; refers to static storage.
    std::vector<std::pair<std::string_view, std::string>> fields; ///< Names and values in the order of the line.
};

using gate_effect = std::variant<send_attempt, relay_response, send_response, cancel_attempt, drop_connections,
    set_request_timer, send_datagram, log_line>;
using gate_effects = std::vector<gate_effect>;

} // namespace lhub
