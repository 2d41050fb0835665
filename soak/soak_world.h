/** @file soak_world.h The real programs of a soak, the stand-ins around them, and the faults. Used on one thread. */
#pragma once

#include "platform/standin/endpoint_standin.h"
#include "platform/standin/store_standin.h"
#include "soak/soak_check.h"
#include <list>

namespace lhub::soak {

/** How a path treats bytes. */
struct path_faults {
    milliseconds delay { 0 }; ///< Each way.
    bool silentThere = false; ///< Nothing reaches the server on connections that are open.
    bool silentBack = false; ///< Nothing comes back on them.
    std::uint64_t connectionsBefore = 0; ///< Silence applies to connections made before this one.
};

/** A loopback proxy before a server. */
struct soak_path {
    std::unique_ptr<tcp::acceptor> acceptor; ///< Where clients connect.
    tcp::endpoint server; ///< Where it leads.
    path_faults faults; ///< Now.
    std::uint64_t connections = 0; ///< Made so far.
    std::list<std::weak_ptr<tcp::socket>> open; ///< Both ends of all connections.
};

/** An endpoint with its path. */
struct soak_endpoint {
    std::shared_ptr<platform::endpoint_standin> standin; ///< Behind the path.
    std::unique_ptr<tcp::acceptor> acceptor; ///< Of the stand-in.
    std::shared_ptr<soak_path> path; ///< Before it.
    std::string zone; ///< Where it stands.
    bool leaving = false; ///< It drains or is gone.
};

/** A process of lhub-gate. */
struct soak_gate {
    std::string name; ///< Identity.
    std::string ip; ///< Own loopback IP.
    std::string zone; ///< Where it stands.
    std::shared_ptr<soak_path> storePath; ///< Before the store.
    int pid = 0; ///< 0 while it does not run.
    unsigned starts = 0; ///< Starts so far.
    time_point startedAt {}; ///< The last one.
    bool expectedEnd = false; ///< Its end was asked for.
};

/** Settings of a soak. */
struct soak_settings {
    std::string program = "build/lhub-gate"; ///< The program under test.
    std::string directory; ///< For settings and logs.
    std::uint64_t seed = 1; ///< Of all draws.
    milliseconds length { 20'000 }; ///< Of the traffic.
    unsigned gates = 5; ///< Processes.
    unsigned endpoints = 9; ///< Endpoints at the same time.
    unsigned callers = 12; ///< Callers at the same time.
};

/** Everything. */
struct soak_world {
    asio::io_context context { 1 }; ///< Runs the stand-ins, the paths, the callers and the plan.
    soak_settings settings; ///< As given.
    std::shared_ptr<platform::platform_store> store = std::make_shared<platform::platform_store>(); ///< The store.
    std::unique_ptr<tcp::acceptor> storeAcceptor; ///< Of the store.
    std::vector<soak_gate> gates; ///< Processes.
    std::list<soak_endpoint> endpoints; ///< All that ever were; steps keep references.
    std::uint16_t callerPort = 0; ///< The same on all VMs.
    std::uint16_t lookupPort = 0; ///< The same.
    unsigned version = 1; ///< Newest configuration.
    time_point begun {}; ///< Start of traffic.
    bool over = false; ///< Callers send nothing more.
    soak_record record; ///< What was seen.
};

milliseconds sinceBegun(const soak_world& world);
asio::awaitable<void> rest(milliseconds span);

/** Starts the process of a VM. Fails with the reason. */
outcome<bool> startGate(soak_world& world, soak_gate& gate);
/** Writes the newest configuration. */
void publishConfig(soak_world& world);
/** Writes an endpoint's entry. */
void publishEndpoint(soak_world& world, soak_endpoint& endpoint, bool leaving);
/** Starts one more endpoint. */
void addEndpoint(soak_world& world);
/** Makes stand-ins and paths, starts the processes. Fails with the reason. */
outcome<bool> buildWorld(soak_world& world);
/** Ends the processes that this soak started, by their ids, and notes those that ended by themselves. */
void endWorld(soak_world& world);
/** Notes processes that ended by themselves or grew beyond their bounds. */
void watchGates(soak_world& world);
/** Carries one step out. */
asio::awaitable<void> playStep(soak_world& world, soak_step step);
/** One caller: look-ups and requests until the soak is over. */
asio::awaitable<void> playCaller(soak_world& world, unsigned number);
/** Makes a path to a server. */
std::shared_ptr<soak_path> makePath(soak_world& world, const tcp::endpoint& server, const std::string& ip);
/** Resets every connection of a path. */
void resetPath(soak_path& path);

} // namespace lhub::soak
