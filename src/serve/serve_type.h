/** @file serve_type.h Input and output of lhub-gate: sockets and timers around the reducer in src/gate. Runs on one thread. */
#pragma once

#include "gate/gate_func.h"
#include "idle_connection/idle_connection_type.h"
#include "limit/limit_func.h"
#include "net/http_type.h"
#include "platform/messages.h"
#include "platform/object_store.h"
#include "settings/gate_settings.h"
#include "store_follow/store_follow_type.h"
#include "store_mirror/store_mirror_func.h"
#include <array>
#include <deque>
#include <unordered_map>

namespace lhub {

using error_code = boost::system::error_code;

/** A response is buffered up to this size before its first byte goes to the caller, so that a request whose response breaks off can be retried. */
inline constexpr std::size_t MaxBufferedResponseBytes = 65'536;
/** Size of one read of a response body; larger responses are relayed in parts of this size. */
inline constexpr std::size_t RelayBufferBytes = 16'384;

/** Time-out of a call to the store, not counting the wait of a watch. The store answers within milliseconds unless it fails. */
inline constexpr milliseconds StoreCallTimeout { 1500 };

/** Most bytes received and not yet parsed. A header section or chunk header that is incomplete at this size is malformed. */
inline constexpr std::size_t MaxUnparsedBytes = 65'536;

/** A connection to an endpoint; kept open for reuse between attempts. */
struct endpoint_connection {
    tcp::socket socket;
    beast::flat_buffer buffer { MaxUnparsedBytes }; ///< Received and not yet parsed.
    std::string address; ///< Of the endpoint, "IP:port".
    time_point idleSince {}; ///< When its last response was complete; set while the connection is idle.
    time_point reuseUntil {}; ///< It is not reused after this, since the endpoint may close it.
    std::optional<milliseconds> idleBeforeUse; ///< How long it was idle before the current attempt; empty on a new connection.

    explicit endpoint_connection(tcp::socket socket)
        : socket(std::move(socket))
    {
    }
};

/** Reads a response from an endpoint into a buffer, part by part. */
using endpoint_response_parser = http::response_parser<http::buffer_body>;

/** Part of resourceLimits.bodyBytes that one request body takes; given back when the last owner of the body is gone. */
struct body_reservation {
    std::shared_ptr<std::uint64_t> total; ///< gate_shell::heldBodyBytes; shared, since coroutines may outlive the shell.
    std::uint64_t bytes = 0; ///< Included in the total.

    explicit body_reservation(std::shared_ptr<std::uint64_t> total)
        : total(std::move(total))
    {
    }
    body_reservation(const body_reservation&) = delete;
    body_reservation& operator=(const body_reservation&) = delete;
    ~body_reservation() { *total -= bytes; }
};

struct gate_exchange;
struct caller_connection;

/** One attempt to have an endpoint serve a request. */
struct gate_attempt {
    send_attempt command; ///< The reducer's effect that started the attempt.
    std::weak_ptr<gate_exchange> exchange; ///< The request; expired when nothing waits for it any more.
    std::shared_ptr<endpoint_connection> connection; ///< Null before the connection is made and after it was given back or closed; shared with writeRequest().
    time_point::duration connectTook {}; ///< Time of the connect; 0 when a kept connection is used, or before it has succeeded.
    bool connectTimedOut = false; ///< The connect took longer than allowed.
    time_point requestStartedAt {}; ///< When writing of the request began.
    bool requestWritten = false; ///< The whole request was written without an error.
    bool writeEnded = false; ///< writeRequest() has ended, with or without an error.
    std::optional<asio::steady_timer> writeEnd; ///< Cancelled when writeRequest() ends; set while readBodyPart() waits for that.
    time_point bodyTimeoutAt = time_point::max(); ///< sweepCallers() cancels the attempt after this; set while relaying waits for more of the body.
    std::optional<endpoint_response_parser> parser; ///< Of the response; empty until the request is sent.
    http::response_header<> header; ///< Header section of the response, without trailer fields, which the parser would add; set when it was read.
    std::string body; ///< Part of the response body that was read and not relayed yet.
    bool cancelled = false; ///< Set by cancelAttempt(); its response is not needed.
    bool endReported = false; ///< The reducer was told how it ended.
    platform::endpoint_facts facts; ///< From the header section of the response.
    bool matched = false; ///< The response belongs to this request.
};

/** One request of a caller, until its response is written or its connection has ended. */
struct gate_exchange {
    std::uint64_t id = 0; ///< Unique in the process.
    std::string callerRequestId; ///< Request id that the caller sent; empty when missing.
    http::request<http::string_body> request; ///< As received. Attempts send its body without a copy and keep the exchange alive meanwhile.
    std::unique_ptr<body_reservation> reservation; ///< For the body; null without one.
    std::map<std::uint64_t, std::shared_ptr<gate_attempt>> attempts; ///< By attempt id.
    std::shared_ptr<gate_attempt> relayedAttempt; ///< The attempt whose response is relayed to the caller; null before the reducer has decided.
    std::optional<send_response> localResponse; ///< Response of this VM instead of an endpoint's; empty before the reducer has decided.
    std::unique_ptr<asio::steady_timer> wakeTimer; ///< Runs until the time of the last set_request_timer; null before the first one.
    std::weak_ptr<caller_connection> caller; ///< The connection on which the request was received.
    time_point arrivedAt {}; ///< When the whole request had been read.
    /** Whether the reducer has decided which response the caller gets. */
    bool hasResponse() const { return relayedAttempt || localResponse; }
};

/** Event counters since the start of the process, exposed as metrics. */
struct gate_counters {
    std::uint64_t lookups = 0; ///< Look-ups.
    std::uint64_t requests = 0; ///< Requests read and handed to the reducer.
    std::uint64_t relayed = 0; ///< Responses of endpoints that were relayed completely.
    std::uint64_t cutShort = 0; ///< Responses of endpoints whose relaying ended early.
    std::uint64_t refused = 0; ///< Responses of this VM with status 503 or 429: no endpoint ran the request.
    std::uint64_t failed = 0; ///< Responses of this VM with another status: the request may have run, except for one without a route.
    std::uint64_t attempts = 0; ///< Attempts started.
    std::uint64_t badRequests = 0; ///< Requests that could not be read: malformed or too large.
    std::uint64_t idleCallersEvicted = 0; ///< Idle callers' connections closed to admit new callers.
    std::uint64_t idleCallersEnded = 0; ///< Idle callers' connections ended by a graceful stop.
    std::uint64_t callersLeftUnread = 0; ///< Requests dropped because the caller had disconnected before they were read.
    std::uint64_t callersStuck = 0; ///< Callers reset because they read nothing of their response for too long.
    std::uint64_t requestsWithoutRoom = 0; ///< Requests refused because the limit on open requests or on body bytes was reached.
    std::uint64_t staleConnections = 0; ///< Reused connections that the endpoint had already closed.
    std::uint64_t connectionsOpened = 0; ///< Connects to endpoints that were started.
    std::uint64_t bodyReads = 0; ///< Reads of response bodies from endpoints.
    std::uint64_t rejectedObjects = 0; ///< Objects from the store that could not be parsed.
    std::uint64_t peerUpdates = 0; ///< Updates from other VMs that changed something here, counted per kind of object.
    std::uint64_t peerCalls = 0; ///< Calls for updates to other VMs.
    std::uint64_t peerCallFailures = 0; ///< Such calls without a response of status 200.
    std::uint64_t gossipSent = 0; ///< Datagrams sent.
    std::uint64_t gossipUnsent = 0; ///< Datagrams that could not be sent.
    std::uint64_t gossipBytes = 0; ///< Bytes of the datagrams sent.
    std::uint64_t gossipReceived = 0; ///< Datagrams received.
    std::uint64_t quotaMalformed = 0; ///< Datagrams about quotas that were malformed.
};

/** Upper bounds of the latency histogram, in milliseconds; the objectives of services lie between 100 and 1000. */
inline constexpr std::array<unsigned, 9> LatencyBoundsMs { 25, 50, 100, 200, 300, 400, 600, 1000, 2000 };

/** A connection of a caller. One coroutine reads its requests and another one writes the responses. */
struct caller_connection {
    tcp::socket socket;
    beast::flat_buffer buffer; ///< Received and not yet parsed.
    std::deque<std::shared_ptr<gate_exchange>> queue; ///< Requests whose response is not written yet, in the order of arrival.
    asio::steady_timer changed; ///< Condition variable of the two coroutines: cancelled by signalChange().
    time_point acceptedAt {}; ///< When the connection was accepted.
    time_point lingerUntil = time_point::max(); ///< sweepCallers() closes the connection after this, once its caller has acknowledged all, and in any case the idle time later; set after the last response.
    time_point readTimeoutAt {}; ///< sweepCallers() closes the connection after this, unless a request is open.
    time_point writeTimeoutAt = time_point::max(); ///< sweepCallers() resets the connection after this, since the caller reads nothing; set while a response is written.
    std::unique_ptr<body_reservation> reservation; ///< For the body being read; null while none is.
    bool readerDone = false; ///< No further request will be read.
    bool closing = false; ///< To be closed once the queued requests are answered.
    unsigned rejectStatus = 0; ///< HTTP status for a request that could not be read, or 408 when a stop ends an idle connection; sent after the queued responses; 0 for none.
    std::string rejectedId; ///< Request id of that request; empty if its header section was not read or has none.

    caller_connection(tcp::socket socket, const asio::any_io_executor& executor)
        : socket(std::move(socket))
        , changed(executor, time_point::max())
    {
    }
};

/** One kind of store objects that is kept up to date, from the store or from other VMs. */
struct watched_kind {
    std::string keyPrefix; ///< Start of the keys of its objects, "KIND/".
    std::size_t index = 0; ///< Its place in known_revisions and gate_shell::watchedKinds.
    time_point answeredAt {}; ///< When the store last answered a watch of this kind; the epoch before the first time.
    milliseconds retryPause { 0 }; ///< Pause after the last failed call to the store; 0 after a successful one.
    bool historyGone = false; ///< The store no longer keeps the changes since the last complete state: the next call lists all objects.
    asio::steady_timer roleChanged; ///< Wakes watchKind(); cancelled when this VM becomes a watcher or a follower.
    store_mirror localCopy; ///< Objects as received; also sent to VMs that follow this one and to those that the store does not answer.
    std::function<void(const keyed_object&)> onObject; ///< Called for each changed or deleted object.
    std::function<void()> onBatch; ///< Called after the objects of one list, watch or update of another VM.
    follow_lag lag; ///< Change that other VMs know and this one does not.

    explicit watched_kind(asio::io_context& context)
        : roleChanged(context, time_point::max())
    {
    }
};

/** State of the process: the reducer's state and everything that does input and output for it. Not thread safe. */
struct gate_shell {
    asio::io_context& context; ///< Runs all coroutines and timers.
    const clock_source& clock;
    gate_settings settings; ///< In force; reloaded by reloadSettingsOnChange().
    std::string settingsFile; ///< Path of the settings file; empty in tests.
    std::string settingsText; ///< Its content when it was last read.
    gate_state state; ///< State of the reducer.
    std::deque<gate_event> eventQueue; ///< Events that wait for the reducer; more may be added while effects are executed.
    bool processingEvents = false; ///< processEvent() is running.
    std::unordered_map<std::uint64_t, std::shared_ptr<gate_exchange>> exchanges; ///< Open requests, by exchange id.
    std::map<std::string, std::vector<std::shared_ptr<endpoint_connection>>> idleConnections; ///< Connections to endpoints for reuse, by address; the last one became idle last.
    std::vector<std::shared_ptr<gate_attempt>> orphanedAttempts; ///< Attempts whose exchange has ended before them, such as those of unrepeatable requests whose callers left.
    std::vector<std::weak_ptr<caller_connection>> callers; ///< Connections of callers; expired ones are removed by sweepCallers().
    std::size_t idleConnectionCount = 0; ///< Connections in idleConnections, over all addresses.
    idle_connection_state connectionReuse; ///< After what idle time endpoints were seen to have closed connections.
    resource_limits resourceLimits; ///< Most connections, requests and body bytes that may be open at the same time.
    const std::shared_ptr<std::uint64_t> heldBodyBytes = std::make_shared<std::uint64_t>(0); ///< Sum of all body_reservation::bytes.
    const std::uint64_t& bodyBytes = *heldBodyBytes; ///< Bytes of request bodies that are held or reserved.
    std::uint64_t lastExchangeId = 0; ///< Id of the newest exchange.
    gate_counters counters;
    std::map<std::string, std::array<std::uint64_t, LatencyBoundsMs.size() + 1>> latencyByRoute; ///< Latency histograms by name of the route; the last bucket is unbounded.
    platform::store_call_counts storeCalls; ///< Counted by the store client.
    std::unique_ptr<store_client> store; ///< Client of the platform's store.
    std::array<std::shared_ptr<watched_kind>, WatchedKinds> watchedKinds; ///< Kinds of objects read from the store.
    std::optional<tcp::acceptor> peerAcceptor; ///< For calls of other VMs.
    std::vector<std::weak_ptr<asio::steady_timer>> updateWaiters; ///< Waiting calls of other VMs for updates; cancelled when something changes.
    follow_plan followPlan; ///< Whether to watch the store, or which VMs to follow.
    bool watchesStore = true; ///< Whether this VM watches the store: the plan says so, or the VMs that it follows do not answer.
    time_point peerAnsweredAt {}; ///< When a followed VM that is up to date last answered a call for updates.
    time_point peerAskedAt {}; ///< When another VM was last asked for updates because the store did not answer.
    time_point storeLostAt {}; ///< When the current outage of the store began, as seen by this VM; the epoch while the store answers.
    time_point storeFailedAt {}; ///< When a call of this VM to the store last failed.
    time_point storeRecoveredAt {}; ///< When the store last answered again after an outage, as seen by this VM or by those that it asked; the epoch when there was none.
    std::shared_ptr<asio::ip::udp::socket> gossipSocket; ///< For datagrams of other VMs; null while gossip is unavailable.
    bool quotaRounds = false; ///< Rounds of quotas run; they do while a customer has a quota.
    std::optional<std::uint64_t> storeEra; ///< Highest era of the revisions held here; empty before the first.
    time_point storeRestoredAt {}; ///< When this VM saw that the store was restored from an older snapshot; the epoch before the first time.
    std::optional<tcp::acceptor> callerAcceptor; ///< For callers; closed part-way through a graceful stop.
    std::optional<tcp::acceptor> readyAcceptor; ///< For readiness checks.
    std::optional<tcp::acceptor> lookupAcceptor; ///< For look-ups.
    std::optional<tcp::acceptor> metricsAcceptor; ///< For metrics.
    time_point sweptAt {}; ///< When all connections were last checked for time-outs; the epoch before the first time.
    time_point sweptBefore {}; ///< When that was done the time before; the epoch before the second time.
    bool stopping = false; ///< A graceful stop began.
    time_point logUntil {}; ///< Until when the end of the process may wait for the reader of the log; the epoch before a graceful stop.

    gate_shell(asio::io_context& context, const clock_source& clock, gate_settings settings, std::string settingsFile, gate_state state)
        : context(context)
        , clock(clock)
        , settings(std::move(settings))
        , settingsFile(std::move(settingsFile))
        , state(std::move(state))
        , resourceLimits(resourceLimitsFor(this->settings.maxDescriptors, this->settings.memoryMb))
    {
    }
};

} // namespace lhub
