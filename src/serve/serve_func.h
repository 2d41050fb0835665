/** @file serve_func.h Input and output of lhub-gate. All functions must be called on the thread that runs gate_shell::context. */
#pragma once

#include "log/log_func.h"
#include "net/http_func.h"
#include "serve/serve_type.h"

namespace lhub {

/** Passes an event to the reducer and executes its effects. Events raised meanwhile are queued and processed in order. */
void processEvent(gate_shell& shell, gate_event event);

asio::awaitable<void> pauseFor(milliseconds span);

/** Starts a coroutine that nothing waits for. An exception that ends it is logged with the name of the task. */
void spawn(gate_shell& shell, std::string_view task, asio::awaitable<void> work);

/** Sends the request to the endpoint, reads its response and tells the reducer how the attempt ended. */
asio::awaitable<void> runAttempt(gate_shell& shell, std::shared_ptr<gate_attempt> attempt);

/** Cancels an attempt and closes its connection; the reducer is still told of its end. */
void cancelAttempt(gate_attempt& attempt);

/** Cancels orphaned attempts some time after their deadline. */
void sweepOrphanedAttempts(gate_shell& shell);

/**
 * Reads the next part of a response body into the attempt. A body that ends with its connection is complete only if the request
 * was written whole; the end of the write is awaited first. @return why the response broke off; none if it did not.
 */
asio::awaitable<error_code> readBodyPart(gate_shell& shell, gate_attempt& attempt);

/** Keeps the connection of a complete response for reuse, or closes it. */
void releaseConnection(gate_shell& shell, gate_attempt& attempt);

/** Closes the idle connections to the endpoint at @p address. */
void closeIdleConnections(gate_shell& shell, const std::string& address);

/** Closes idle connections that the endpoints are about to close. */
void sweepIdleConnections(gate_shell& shell);

/** Starts an HTTP server for small messages that listens at @p address. Fails with the reason. */
outcome<bool> startServer(gate_shell& shell, std::optional<tcp::acceptor>& acceptor, const std::string& address, http_handler handler);

/** Limits on callers in the configuration in force; the defaults before the first configuration. */
caller_limits callerLimits(const gate_shell& shell);

void closeCaller(caller_connection& caller);

/** Whether the caller has closed its sending side, or reset the connection, and nothing is left to read. Asks the kernel, since the process may be behind. */
bool hasDisconnected(caller_connection& caller);

/** Whether a part of a request, or all of it, has arrived that is not in the queue yet. Asks the kernel, since the process may be behind. */
bool isReceiving(caller_connection& caller);

/** Closes a connection with a reset, so that a response in progress cannot look complete. */
void resetCaller(caller_connection& caller);

/** Waits until signalChange() is called for the connection. */
asio::awaitable<void> awaitChange(caller_connection& caller);

/** Wakes the coroutines that wait in awaitChange(), after the connection or one of its requests has changed. */
void signalChange(caller_connection& caller);

/** Writes responses in the order of the requests until the connection ends. */
asio::awaitable<void> writeResponses(gate_shell& shell, std::shared_ptr<caller_connection> caller);

/** Accepts callers until the acceptor is closed. */
asio::awaitable<void> acceptCallers(gate_shell& shell);

/** Accepts the connections that are pending in the kernel, then closes the acceptor. Closing alone would reset them with their requests. */
void acceptPendingAndClose(gate_shell& shell);

/** Number of callers' connections that are open, including those whose last response was written and may not have been read. */
std::size_t openCallers(gate_shell& shell);

/**
 * Ends the connections of callers that have no request open. A request that crosses the end gets a 408, which says that it has
 * not run and that the caller may send it again; so nothing that arrives on such a connection is passed on.
 * @param evenReceiving also those where a part of a request has arrived.
 */
void endIdleCallers(gate_shell& shell, bool evenReceiving);

/** Closes callers' connections that have timed out, and cancels attempts whose response bodies have stalled. */
void sweepCallers(gate_shell& shell);

/** Fills gate_shell::watchedKinds with configuration, endpoints and evacuations. */
void makeWatchedKinds(gate_shell& shell);

/** Starts one loop per kind that reads the store while this VM watches it, and pauses otherwise. Precondition: makeWatchedKinds() was called. */
void startWatches(gate_shell& shell);

/** Revision of the newest change of each kind that this VM knows. */
known_revisions knownRevisions(const gate_shell& shell);

/** Starts the server from which other VMs fetch the store objects that this VM holds. Fails with the reason. */
outcome<bool> startPeerServer(gate_shell& shell);

/** Keeps the objects up to date: first from the seeds, then by watching the store or following VMs that do, and from VMs that know newer changes. */
asio::awaitable<void> followStore(gate_shell& shell);

/** Wakes the calls of other VMs that wait here for updates. */
void wakeUpdateWaiters(gate_shell& shell);

/** Applies changes of a kind's local copy to the state and wakes the VMs that wait for updates. */
void publishChanges(gate_shell& shell, watched_kind& kind, const std::vector<keyed_object>& changed);

/**
 * Notes the era of the state that a list of the store, or an update of another VM, is about to bring. After a rise the objects that it does
 * not contain are kept for a while, and this VM registers again. @param revision up to which the state is complete; 0 for none.
 */
void noteStoreEra(gate_shell& shell, std::uint64_t revision);

/** Writes the member object of this VM again, after a pause that differs between VMs. */
void registerAgain(gate_shell& shell);

/** Reads the registered VMs from the store, retrying until it succeeds; gossip keeps them up to date from then on. */
void listMembers(gate_shell& shell);

/** Registers this VM in the store and starts to exchange gossip with the other VMs. */
void startGossip(gate_shell& shell);

/** Sends a datagram to the gossip port of the VM at @p ip; does nothing while gossip is unavailable. */
void sendDatagram(gate_shell& shell, const std::string& ip, const std::string& text);

/** Starts the servers for callers, look-ups, readiness checks, other VMs and metrics. Fails with the reason; metrics may be missing. */
outcome<bool> startServers(gate_shell& shell);

/** Stops the process within the grace time. Readiness checks and look-ups fail at once; callers are served until they have moved to other VMs. */
asio::awaitable<void> stopGracefully(gate_shell& shell);

/** Polls the settings file and applies the reloadable part of it when it changes; invalid settings are logged and ignored. */
asio::awaitable<void> reloadSettingsOnChange(gate_shell& shell);

/** The part of the settings that the reducer uses. */
gate_parameters identityOf(const gate_settings& settings);

} // namespace lhub
