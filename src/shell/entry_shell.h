/** @file entry_shell.h The shell of lhub-entry: turns input into events and carries out effects. */
#pragma once

#include "core/time_type.h"
#include "entry/entry_func.h"
#include "net/http_type.h"
#include "net/rpc_func.h"
#include "settings/settings_type.h"
#include "shell/latency_func.h"
#include "steer/steer_type.h"
#include <boost/asio/experimental/channel.hpp>
#include <deque>
#include <lhub.grpc.pb.h>
#include <unordered_map>

namespace lhub {

/** What the reducer tells the session of one request. */
using exchange_command = std::variant<dispatch, answer_caller>;

/** The way to the session of one request. */
using exchange_channel = asio::experimental::channel<void(boost::system::error_code, exchange_command)>;

/** An idle connection to an endpoint or another entry VM. */
struct idle_connection {
    std::unique_ptr<beast::tcp_stream> stream; ///< Open and at the start of a message.
    time_point since {}; ///< When it became idle.
};

/** Everything of the process. Used on one thread only, but for postEvent(). */
struct entry_shell {
    asio::io_context& context; ///< Runs everything.
    const clock_source& clock; ///< Time.
    vm_settings settings; ///< As read.
    entry_state state; ///< What the reducer works on.
    client_table clients; ///< Client blocks.
    client_lookup_index index; ///< For look-ups.
    std::uint64_t indexRevision = 0; ///< Configuration that the index rests on.
    rpc_channels channels; ///< To peers and to the agent.
    std::deque<entry_event> inbox; ///< Events that came up while effects were carried out.
    bool draining = false; ///< The inbox is being worked off.
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange_channel>> exchanges; ///< By request id.
    std::unordered_map<std::uint64_t, std::function<void(const entry_effect&)>> calls; ///< Open calls of peers, by id.
    std::map<std::string, std::deque<idle_connection>> idle; ///< Idle connections, by address.
    std::map<std::string, latency_stats> latency; ///< By service.
    std::uint64_t lastId = 0; ///< Of requests and calls.
    std::function<void()> onReady; ///< Runs once, when the first configuration has arrived.
    std::function<void()> onStopped; ///< Runs when the graceful stop is complete.
    std::ostream* record = nullptr; ///< Where the trace goes, if it is recorded.
};

/** Reduces an event now and carries out its effects. On the thread of the context only. */
void feedEvent(entry_shell& shell, entry_event event);

/** Hands an event to the thread of the context. Thread safe. */
void postEvent(entry_shell& shell, entry_event event);

/** Starts ticks and the fetching of configuration. */
void startEntry(entry_shell& shell);

/** Carries out an effect that goes to a peer or to the agent (entry_calls.cpp). */
void callPeer(entry_shell& shell, const entry_effect& effect);

/** Probes an endpoint (entry_http.cpp). */
void probeEndpoint(entry_shell& shell, const send_probe& probe);

/** Serves callers until the acceptor is closed (entry_http.cpp). */
asio::awaitable<void> serveCallers(entry_shell& shell, tcp::acceptor& acceptor);

/** The gRPC service towards peers (entry_service.cpp). */
std::unique_ptr<rpc::Peer::CallbackService> makePeerService(entry_shell& shell);

/** Metrics as Prometheus text (entry_metrics.cpp). */
std::string metricsText(const entry_shell& shell);

/** Status as JSON, for lhub-report (entry_metrics.cpp). */
std::string statusText(const entry_shell& shell);

} // namespace lhub
