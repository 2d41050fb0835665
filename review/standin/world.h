/** @file world.h Stand-ins for the scripted cases: the store, upstreams, clients and the processes of lhub-gate. Runs on one thread. */
#pragma once

#include "platform/standin/operator_standin.h"
#include "platform/standin/store_standin.h"
#include <fstream>
#include <list>
#include <set>

namespace lhub::review {

using error_code = boost::system::error_code;

/** Exit statuses of a case. */
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CannotRun = 2;

/** How the run of a request at an upstream ended. */
enum class run_end {
    Open, ///< It has not ended.
    Answered, ///< The whole response was written.
    Dropped, ///< The connection was closed before that, by the caller's side.
    Broken, ///< The upstream itself ended before that.
};

/** The arrival of one request at one upstream. */
struct upstream_run {
    std::string id; ///< X-Request-Id as received.
    std::string upstream; ///< Identity of the upstream.
    std::string target; ///< Path and query as received.
    time_point arrivedAt {};
    time_point endedAt {};
    run_end end = run_end::Open;
};

/** A simulated upstream. It serves one request at a time on a connection and drops a request when its connection closes. */
struct upstream {
    endpoint_registration entry; ///< As registered in the store.
    milliseconds work { 50 }; ///< Time that a request takes.
    std::size_t answerBytes = 400;
    std::size_t cutAfter = 0; ///< Bytes of a response after which it breaks off and the connection is closed; 0 for a sound upstream.
    std::unique_ptr<tcp::acceptor> acceptor;
    std::set<std::shared_ptr<tcp::socket>> sockets; ///< Open connections.
    bool ended = false; ///< The process of the upstream is gone.
};

/** A process of lhub-gate. */
struct gate_process {
    std::string name;
    std::string ip;
    std::string zone;
    std::string settingsFile;
    std::string logFile;
    int pid = 0; ///< 0 while it does not run.
    time_point endedAt {}; ///< When its end was noticed.
};

/** What a client saw of one request. */
struct client_result {
    std::string id;
    std::string gate; ///< Name of the machine that it was sent to.
    std::string method;
    time_point sentAt {}; ///< When its last byte was sent.
    time_point endedAt {};
    unsigned status = 0; ///< 0 without a complete response.
    bool stamped = false; ///< The response bears an upstream's stamp.
    bool closes = false; ///< The response ends the connection.
    std::string body;
    std::string failure; ///< Why there was no complete response.
};

/** A connection of a client. */
struct client_connection {
    std::unique_ptr<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    std::string gate; ///< Name of the machine.
};

/** One small deployment. */
struct world {
    asio::io_context context { 1 };
    std::string directory; ///< Temporary folder for settings and logs.
    std::ofstream record;
    time_point startedAt {};
    bool trouble = true; ///< Whether the disruption takes place.
    std::shared_ptr<platform::platform_store> store = std::make_shared<platform::platform_store>();
    std::unique_ptr<tcp::acceptor> storeAcceptor;
    std::list<upstream> upstreams;
    std::list<gate_process> gates;
    std::list<upstream_run> runs;
    std::list<client_result> results;
    route_config config;
    std::vector<std::uint16_t> ports; ///< Front, ready, directory, control, gossip: the same on all machines.
    unsigned lastRequest = 0; ///< Number of the newest request.
};

/** Writes one line with the time since the start to record.txt. */
void note(world& world, const std::string& text);
/** Milliseconds since the start of the case. */
long sinceStart(const world& world, time_point at);

asio::awaitable<void> sleepFor(milliseconds span);

/** A route of host "shop.example" to one service. */
route makeRoute(const std::string& name, const std::string& prefix, const std::string& service, bool repeatable, milliseconds timeout, milliseconds objective);
/** Writes the configuration to the store, as the operator does. */
void publishConfig(world& world);
/** Starts an upstream and registers it. */
upstream& addUpstream(world& world, const std::string& id, const std::string& service, const std::string& zone, std::uint32_t slots, milliseconds work);
/** Writes the registration of an upstream. */
void registerUpstream(world& world, const upstream& upstream);
/** Ends the process of an upstream: its listener and its connections are gone. */
void endUpstream(world& world, upstream& upstream);

/** Starts the store, and the processes of lhub-gate in the zones given. */
void startMachines(world& world, const std::vector<std::string>& zones);
void startGate(world& world, gate_process& gate);
void signalGate(world& world, gate_process& gate, int signal);
/** Notices ended processes. */
void reapGates(world& world);
/** Waits until all machines answer readiness checks with 200. @return false when that takes longer than @p limit. */
asio::awaitable<bool> awaitReady(world& world, milliseconds limit);
/** Whether one machine answers its readiness check with 200. */
asio::awaitable<bool> isReady(world& world, const gate_process& gate);

/** Connects to the front address of a machine; null on failure. */
asio::awaitable<std::shared_ptr<client_connection>> connectTo(world& world, const gate_process& gate);
/** Sends one request and reads its response. The result is also kept in world::results. */
asio::awaitable<client_result> sendRequest(world& world, client_connection& connection, const std::string& method, const std::string& path, milliseconds deadline);

/** Runs a case: starts @p body, ends after @p limit at the latest, and ends all processes. @return the exit status. */
int runCase(world& world, const std::string& recordFile, milliseconds limit, std::function<asio::awaitable<int>(struct world&)> body);

} // namespace lhub::review
