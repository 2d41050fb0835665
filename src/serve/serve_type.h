/** @file serve_type.h The shell of lhub-gate: sockets around the reducer. One thread. */
#pragma once

#include "follow/follow_type.h"
#include "gate/gate_func.h"
#include "limit/limit_func.h"
#include "mirror/mirror_func.h"
#include "net/http_type.h"
#include "platform/messages.h"
#include "platform/object_store.h"
#include "reuse/reuse_type.h"
#include "settings/gate_settings.h"
#include <array>
#include <deque>
#include <unordered_map>

namespace lhub {

using error_code = boost::system::error_code;

/** Answers up to this size are read whole before the first byte goes to the caller, so that a broken one can be retried. */
inline constexpr std::size_t WholeAnswerBytes = 65'536;
/** Bytes relayed at a time above that. */
inline constexpr std::size_t RelayBytes = 16'384;

/** Bytes of a peer that may wait to be parsed. A head or a chunk's head that is still not complete then is malformed. */
inline constexpr std::size_t MostUnparsedBytes = 65'536;

/** A kept connection to an endpoint. */
struct endpoint_connection {
    tcp::socket socket; ///< Open.
    beast::flat_buffer buffer { MostUnparsedBytes }; ///< Read and not parsed yet.
    std::string address; ///< Where it leads.
    time_point idleSince {}; ///< When its last exchange ended.
    time_point keepUntil {}; ///< The endpoint may close it after this.
    std::optional<milliseconds> rested; ///< How long it had rested before this use; nothing for a new one.

    explicit endpoint_connection(tcp::socket socket)
        : socket(std::move(socket))
    {
    }
};

using answer_parser = http::response_parser<http::buffer_body>;

struct gate_exchange;
struct caller_connection;

/** One attempt while the shell carries it out. */
struct gate_attempt {
    send_attempt command; ///< What to do.
    std::weak_ptr<gate_exchange> exchange; ///< The request it serves.
    std::shared_ptr<endpoint_connection> connection; ///< Set once connected; shared with the writer of the request.
    time_point startedAt {}; ///< When its request was written.
    bool written = false; ///< The whole request was written.
    time_point readUntil = time_point::max(); ///< The sweep ends it after this: its answer stands still.
    std::optional<answer_parser> parser; ///< Of the answer.
    std::string body; ///< What was read of the body and not relayed yet.
    bool cancelled = false; ///< Its end is not needed.
    bool reported = false; ///< The reducer has seen its end.
    platform::endpoint_facts facts; ///< What the endpoint said.
};

/** One request of a caller while it is open. */
struct gate_exchange {
    std::uint64_t id = 0; ///< Identity in the process.
    std::string callerId; ///< As sent.
    http::request<http::string_body> request; ///< As read.
    std::map<std::uint64_t, std::shared_ptr<gate_attempt>> attempts; ///< By identity.
    std::shared_ptr<gate_attempt> relayed; ///< Whose answer goes to the caller, once decided.
    std::optional<answer_request> own; ///< Our own answer, once decided.
    std::unique_ptr<asio::steady_timer> timer; ///< For wake_request.
    std::weak_ptr<caller_connection> caller; ///< The connection that it came on.
    time_point arrived {}; ///< When it was read.
    bool resolved() const { return relayed || own; } ///< Whether the answer is decided.
};

/** Counters of the process. */
struct gate_counters {
    std::uint64_t lookups = 0; ///< Look-ups answered.
    std::uint64_t requests = 0; ///< Requests read.
    std::uint64_t relayed = 0; ///< Answers of endpoints relayed whole.
    std::uint64_t cutShort = 0; ///< Relays that ended short.
    std::uint64_t refused = 0; ///< Own answers that prove that nothing ran.
    std::uint64_t failed = 0; ///< Own answers that prove nothing.
    std::uint64_t attempts = 0; ///< Attempts sent.
    std::uint64_t badRequests = 0; ///< Malformed requests.
    std::uint64_t callersClosed = 0; ///< Idle callers that were closed for new ones.
    std::uint64_t callersLeftUnread = 0; ///< Requests that were read after their callers had left.
    std::uint64_t callersStuck = 0; ///< Callers that took nothing of their answer.
    std::uint64_t bodiesRefused = 0; ///< Requests without room for their body.
    std::uint64_t forgotten = 0; ///< Kept connections that endpoints had forgotten.
    std::uint64_t connectionsOpened = 0; ///< New connections to endpoints.
    std::uint64_t rejectedObjects = 0; ///< Objects of the store that could not be read.
    std::uint64_t relays = 0; ///< Times that another VM told something new.
    std::uint64_t newsCalls = 0; ///< Calls to other VMs for news.
    std::uint64_t newsFailures = 0; ///< Those without an answer.
    std::uint64_t gossipSent = 0; ///< Datagrams.
    std::uint64_t gossipUnsent = 0; ///< Datagrams that could not be sent.
    std::uint64_t gossipBytes = 0; ///< Bytes of the datagrams sent.
    std::uint64_t gossipReceived = 0; ///< Datagrams.
};

/** Upper bounds of the latency histogram, in milliseconds; the objectives of services lie between 100 and 1000. */
inline constexpr std::array<unsigned, 9> LatencyBounds { 25, 50, 100, 200, 300, 400, 600, 1000, 2000 };

/** A connection of a caller. */
struct caller_connection {
    tcp::socket socket; ///< Open.
    beast::flat_buffer buffer; ///< Read and not parsed yet.
    std::deque<std::shared_ptr<gate_exchange>> queue; ///< Open requests, in order.
    asio::steady_timer changed; ///< Cancelled whenever the writer or reader should look again.
    time_point expires {}; ///< The sweep closes it after this, while nothing is open.
    time_point writeUntil = time_point::max(); ///< The sweep resets it after this: it takes nothing of its answer.
    std::uint64_t reservedBytes = 0; ///< Of the room for bodies, while one is read.
    bool readerDone = false; ///< Nothing more will be read.
    bool closing = false; ///< Closed after the answers that are due.
    unsigned badStatus = 0; ///< Answer to a request that was not read, after the answers that are due.

    caller_connection(tcp::socket socket, const asio::any_io_executor& executor)
        : socket(std::move(socket))
        , changed(executor, time_point::max())
    {
    }
};

/** One kind of objects that is kept up to date, from the store or from another VM. */
struct watched_kind {
    std::string prefix; ///< Of its keys.
    std::size_t index = 0; ///< Into known_revisions.
    milliseconds pause { 0 }; ///< After the last failure.
    bool gone = false; ///< The store keeps no history from the complete state on: list.
    asio::steady_timer resume; ///< Cancelled when this VM's role changes.
    mirror copy; ///< Objects as read; told to VMs that follow, and to those that are cut off from the store.
    std::function<void(const keyed_object&)> onObject; ///< A changed or deleted object.
    std::function<void()> onBatch; ///< After each list, watch or relay.
    follow_lag lag; ///< What other VMs know and this one does not.

    explicit watched_kind(asio::io_context& context)
        : resume(context, time_point::max())
    {
    }
};

/** Everything of the process. Used on one thread only. */
struct gate_shell {
    asio::io_context& context; ///< Runs everything.
    const clock_source& clock; ///< Time.
    gate_settings settings; ///< As read.
    std::string settingsFile; ///< Where from.
    gate_state state; ///< What the reducer works on.
    std::deque<gate_event> inbox; ///< Events that came up while effects were carried out.
    bool draining = false; ///< The inbox is being worked off.
    std::unordered_map<std::uint64_t, std::shared_ptr<gate_exchange>> exchanges; ///< Open requests, by id.
    std::map<std::string, std::vector<std::shared_ptr<endpoint_connection>>> idle; ///< Kept connections, by address.
    std::vector<std::shared_ptr<gate_attempt>> orphans; ///< Attempts that go on without their callers, since they may not be repeated.
    std::vector<std::weak_ptr<caller_connection>> callers; ///< Open connections of callers.
    std::size_t idleCount = 0; ///< Kept connections in all.
    reuse_belief reuse; ///< What was learned of their life.
    serve_room room; ///< What may be open at the same time.
    std::uint64_t bodyBytes = 0; ///< Bodies of callers that are held or being read.
    std::uint64_t lastExchange = 0; ///< Last identity given.
    gate_counters counters; ///< Since the start.
    std::map<std::string, std::array<std::uint64_t, LatencyBounds.size() + 1>> latency; ///< Histograms, by route.
    platform::store_call_counts storeCalls; ///< Calls to the store.
    std::unique_ptr<store_client> store; ///< The platform's store.
    std::array<std::shared_ptr<watched_kind>, RelayedKinds> kinds; ///< What is read from the store.
    std::optional<tcp::acceptor> peerAcceptor; ///< For other VMs.
    std::vector<std::weak_ptr<asio::steady_timer>> newsWaiters; ///< VMs that wait here for news; cancelled when there are any.
    follow_plan plan; ///< Whether to watch the store, or whom to follow.
    bool watchesStore = true; ///< Whether it does: the plan says so, or those that it follows bring nothing.
    time_point newsAt {}; ///< When an informed VM last answered a call for news.
    time_point askedAt {}; ///< When another VM was last asked for news in place of the store.
    time_point storeLostAt {}; ///< When the store was lost; the epoch while it answers.
    time_point storeFailedAt {}; ///< When it last did not answer this VM.
    time_point storeBackAt {}; ///< When it answered again after an outage, this VM or those that it follows.
    std::optional<tcp::acceptor> callerAcceptor; ///< For callers; closed late in a stop.
    std::optional<tcp::acceptor> readyAcceptor; ///< For readiness checks.
    std::optional<tcp::acceptor> lookupAcceptor; ///< For look-ups.
    std::optional<tcp::acceptor> metricsAcceptor; ///< For metrics.
    bool stopping = false; ///< A graceful stop began.

    gate_shell(asio::io_context& context, const clock_source& clock, gate_settings settings, std::string settingsFile, gate_state state)
        : context(context)
        , clock(clock)
        , settings(std::move(settings))
        , settingsFile(std::move(settingsFile))
        , state(std::move(state))
        , room(roomFor(this->settings.maxDescriptors, this->settings.memoryMb))
    {
    }
};

} // namespace lhub
