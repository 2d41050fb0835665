/** @file soak_world.h Processes, test servers, proxies and callers of a soak. Used on one thread. */
#pragma once

#include "platform/standin/endpoint_standin.h"
#include "platform/standin/store_standin.h"
#include "soak/soak_check.h"
#include <list>

namespace lhub::soak {

/** Faults that a proxy injects. */
struct proxy_faults {
    milliseconds delay { 0 }; ///< Of each block of bytes, in both directions.
    bool silentToServer = false; ///< Withholds bytes from client to server.
    bool silentToClient = false; ///< Withholds bytes from server to client.
    std::uint64_t silentBelow = 0; ///< Bytes are withheld on connections with a number below this.
};

/** A loopback proxy in front of a server. */
struct loopback_proxy {
    std::unique_ptr<tcp::acceptor> acceptor; ///< Accepts the clients.
    tcp::endpoint server; ///< Address that connections are relayed to.
    proxy_faults faults; ///< In force now.
    std::uint64_t connections = 0; ///< Accepted so far; the number of the next one.
    std::list<std::weak_ptr<tcp::socket>> sockets; ///< Both sockets of each connection; expired ones are removed when a connection is made.
};

/** An endpoint and its proxy. */
struct soak_endpoint {
    std::shared_ptr<platform::endpoint_standin> standin; ///< Server behind the proxy.
    std::unique_ptr<tcp::acceptor> acceptor; ///< Of the server.
    std::shared_ptr<loopback_proxy> proxy; ///< Its address is the one that is registered in the store.
    std::string zone;
    std::string service = "s";
    unsigned slots = 3; ///< Requests that it runs at the same time.
    bool leaving = false; ///< It drains or has been removed.
};

/** A process of lhub-gate. */
struct soak_gate {
    std::string name; ///< VM name; also names its settings file and its log.
    std::string ip; ///< Loopback IP of its own.
    std::string zone;
    std::shared_ptr<loopback_proxy> storeProxy; ///< Between this VM and the store.
    int pid = 0; ///< Process id; 0 while it does not run.
    unsigned starts = 0; ///< Number of starts so far.
    time_point startedAt {}; ///< Time of the last start.
    bool expectedEnd = false; ///< Set when a step ends it, cleared by the next start.
};

/** Settings of a soak. */
struct soak_settings {
    std::string program = "build/lhub-gate"; ///< Path of lhub-gate.
    std::string directory; ///< Directory for settings files and logs.
    std::uint64_t seed = 1; ///< Of the plan and the callers.
    milliseconds duration { 20'000 }; ///< Duration of the traffic.
    soak_scenario scenario = soak_scenario::Faults;
    unsigned gates = 5; ///< Processes of lhub-gate.
    unsigned endpoints = 9; ///< Endpoints at the same time.
    unsigned callers = 12; ///< Callers at the same time.
};

/** State of one soak. */
struct soak_state {
    asio::io_context context { 1 }; ///< Runs servers, proxies, callers and plan.
    soak_settings settings;
    std::shared_ptr<platform::platform_store> store = std::make_shared<platform::platform_store>();
    std::unique_ptr<tcp::acceptor> storeAcceptor; ///< Of the store.
    std::vector<soak_gate> gates;
    std::list<soak_endpoint> endpoints; ///< Also removed ones, since steps keep references.
    std::uint16_t callerPort = 0; ///< Port for requests, the same on all VMs.
    std::uint16_t lookupPort = 0; ///< Port for look-ups, the same on all VMs.
    unsigned configVersion = 1; ///< Newest version of the configuration.
    time_point trafficStartedAt {}; ///< Set when the first VM answers look-ups, or after StartTimeout.
    bool trafficEnded = false; ///< Callers send no further requests.
    soak_record record;
};

/** Time since the start of the traffic. */
milliseconds sinceTrafficStart(const soak_state& state);
asio::awaitable<void> sleepFor(milliseconds span);

/** Starts the process of a VM. Fails with the reason. */
outcome<bool> startGate(soak_state& state, soak_gate& gate);
/** Writes the newest configuration to the store. */
void publishConfig(soak_state& state);
/** Writes the registration of an endpoint to the store. */
void publishEndpoint(soak_state& state, soak_endpoint& endpoint, bool leaving);
/** Starts one more endpoint and registers it. */
void addEndpoint(soak_state& state);
/** Makes servers and proxies, and starts the processes. Fails with the reason. */
outcome<bool> setUp(soak_state& state);
/** Kills the processes that this soak started, by process id, and sums up the runs of the endpoints. */
void endProcesses(soak_state& state);
/** Records processes that ended unasked or exceeded their limits. */
void checkProcesses(soak_state& state);
/** Carries out one step. */
asio::awaitable<void> runStep(soak_state& state, soak_step step);
/** One caller: look-ups and requests until the traffic ends. */
asio::awaitable<void> runCaller(soak_state& state, unsigned number);
/** Makes a proxy that listens at a free port of @p ip. */
std::shared_ptr<loopback_proxy> makeProxy(soak_state& state, const tcp::endpoint& server, const std::string& ip);
/** Resets every connection of a proxy. */
void resetConnections(loopback_proxy& proxy);

} // namespace lhub::soak
