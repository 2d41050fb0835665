/** @file entry_shell.h The process lhub-entry around its reducer: turns input into events and executes effects. */
#pragma once

#include "client_lookup/client_lookup_type.h"
#include "core/time_type.h"
#include "entry/entry_func.h"
#include "net/http_type.h"
#include "net/rpc_func.h"
#include "settings/settings_type.h"
#include "shell/latency_func.h"
#include <boost/asio/experimental/channel.hpp>
#include <deque>
#include <lhub.grpc.pb.h>
#include <unordered_map>

namespace lhub {

/** Command of the reducer to the coroutine that serves a request. */
using exchange_command = std::variant<dispatch, answer_caller>;

/** Carries the commands to the coroutine that serves a request. */
using exchange_channel = asio::experimental::channel<void(boost::system::error_code, exchange_command)>;

/** An idle connection to an endpoint or another entry VM. */
struct idle_connection {
    std::unique_ptr<beast::tcp_stream> stream; ///< Open; the next byte begins a message.
    time_point since {}; ///< When it became idle.
};

/** State of lhub-entry. Used on the thread of the context only, except by postEvent(). */
struct entry_shell {
    asio::io_context& context; ///< Event loop.
    const clock_source& clock; ///< Gives the time of events.
    vm_settings settings; ///< From the settings file.
    entry_state state; ///< State of the reducer.
    client_table clientTable; ///< Client blocks for look-ups; may be empty.
    client_lookup_index lookupIndex; ///< Entry VMs for look-ups.
    std::uint64_t indexRevision = 0; ///< Configuration revision of lookupIndex; 0 before the first.
    rpc_channels channels; ///< To other entry VMs and to the agent.
    std::deque<entry_event> queuedEvents; ///< Events raised while another one is processed.
    bool processing = false; ///< feedEvent() is running.
    std::unordered_map<std::uint64_t, std::shared_ptr<exchange_channel>> exchanges; ///< By request id.
    std::unordered_map<std::uint64_t, std::function<void(const entry_effect&)>> pendingCalls; ///< By call id.
    std::map<std::string, std::deque<idle_connection>> idleConnections; ///< By address.
    std::map<std::string, latency_stats> latency; ///< Latency of requests, by service.
    std::uint64_t lastId = 0; ///< The last id given to a request or a call.
    std::function<void()> onReady; ///< Called once, when the first configuration has arrived; may be empty.
    std::function<void()> onStopped; ///< Called when the process may exit.
    std::ostream* traceOutput = nullptr; ///< Receives the trace; null when none is recorded.
};

/**
 * Applies an event and executes its effects. Events raised meanwhile are queued and processed before it returns. Call
 * it on the thread of the context only.
 */
void feedEvent(entry_shell& shell, entry_event event);

/** Calls feedEvent() on the thread of the context, later. Thread safe. */
void postEvent(entry_shell& shell, entry_event event);

/** Starts to send ticks to the reducer and to fetch the configuration from the agent. */
void startEntry(entry_shell& shell);

/** Makes the gRPC call to another entry VM or to the agent that an effect asks for (entry_calls.cpp). */
void callPeer(entry_shell& shell, const entry_effect& effect);

/** Probes an endpoint over HTTP; raises probe_ended (entry_http.cpp). */
void probeEndpoint(entry_shell& shell, const send_probe& probe);

/** Serves callers until the acceptor is closed (entry_http.cpp). */
asio::awaitable<void> serveCallers(entry_shell& shell, tcp::acceptor& acceptor);

/** Makes the gRPC service for other entry VMs (entry_service.cpp). */
std::unique_ptr<rpc::Peer::CallbackService> makePeerService(entry_shell& shell);

/** Metrics in the text format of Prometheus (entry_metrics.cpp). */
std::string metricsText(const entry_shell& shell);

/** Status as JSON text, for lhub-report (entry_metrics.cpp). */
std::string statusText(const entry_shell& shell);

} // namespace lhub
