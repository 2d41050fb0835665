/** @file soak_step.cpp How the steps of a plan are carried out. */
#include "soak/soak_world.h"

#include <csignal>

namespace lhub::soak {

using platform::endpoint_behaviour;

static constexpr milliseconds GraceTime { 6000 }; ///< From SIGTERM to SIGKILL.
static constexpr milliseconds DrainTime { 2500 }; ///< After it a leaving endpoint gets nothing.
static constexpr milliseconds EvacuationTime { 5000 }; ///< The same for a zone that is emptied.
static constexpr milliseconds LateSlack { 500 }; ///< Way of a request that was sent in time.
static constexpr milliseconds LoadTime { 50 }; ///< A process is loaded; before that no program can keep a signal from ending it.
static constexpr milliseconds RollPause { 900 }; ///< Between two VMs of a rolling restart.

static soak_gate& gateOf(soak_world& world, const soak_step& step) { return world.gates[step.target % world.gates.size()]; }

static void signalGate(const soak_gate& gate, int signal)
{
    if (gate.pid != 0)
        ::kill(gate.pid, signal);
}

static asio::awaitable<void> restartGate(soak_world& world, soak_gate& gate, milliseconds pause)
{
    static constexpr milliseconds Look { 50 };
    while (gate.pid != 0) {
        watchGates(world);
        co_await rest(Look);
    }
    co_await rest(pause);
    const auto started = startGate(world, gate);
    if (!started)
        world.record.ends.push_back(started.reason);
}

static asio::awaitable<void> stopGate(soak_world& world, soak_gate& gate)
{
    if (gate.pid == 0 || gate.expectedEnd)
        co_return;
    gate.expectedEnd = true;
    const int pid = gate.pid;
    signalGate(gate, SIGTERM);
    auto killLater = [](soak_world& world, soak_gate& gate, int pid) -> asio::awaitable<void> {
        co_await rest(GraceTime);
        watchGates(world);
        if (gate.pid == pid)
            signalGate(gate, SIGKILL);
    };
    asio::co_spawn(world.context, killLater(world, gate, pid), asio::detached);
    co_await restartGate(world, gate, milliseconds(200));
}

static asio::awaitable<void> killGate(soak_world& world, soak_gate& gate, milliseconds pause)
{
    if (gate.pid == 0 || gate.expectedEnd)
        co_return;
    gate.expectedEnd = true;
    signalGate(gate, SIGKILL);
    co_await restartGate(world, gate, pause);
}

static asio::awaitable<void> pauseGate(soak_gate& gate, milliseconds length)
{
    const int pid = gate.pid;
    signalGate(gate, SIGSTOP);
    co_await rest(length);
    if (gate.pid == pid)
        signalGate(gate, SIGCONT);
}

/** An endpoint that is there, or nothing. */
static soak_endpoint* endpointOf(soak_world& world, const soak_step& step)
{
    std::vector<soak_endpoint*> present;
    for (auto& endpoint : world.endpoints) {
        if (!endpoint.leaving)
            present.push_back(&endpoint);
    }
    return present.size() < 3 ? nullptr : present[step.target % present.size()];
}

static asio::awaitable<void> misbehave(std::shared_ptr<platform::endpoint_standin> standin, const soak_step step)
{
    static constexpr std::array Ways { endpoint_behaviour::Cut, endpoint_behaviour::Reset, endpoint_behaviour::Silent, endpoint_behaviour::Surplus,
        endpoint_behaviour::StrayFirst, endpoint_behaviour::Shed, endpoint_behaviour::Error, endpoint_behaviour::Unframed, endpoint_behaviour::Stall,
        endpoint_behaviour::Forget, endpoint_behaviour::RefuseUnproved };
    standin->behaviour = Ways[step.variant % Ways.size()];
    co_await rest(step.length);
    standin->behaviour = endpoint_behaviour::Answer;
}

static asio::awaitable<void> faultPath(std::shared_ptr<soak_path> path, const soak_step step)
{
    if (step.kind == step_kind::SlowPath)
        path->faults.delay = milliseconds(20 + step.variant % 300);
    path->faults.silentThere = step.kind == step_kind::SilentPath || step.kind == step_kind::CutFromStore;
    path->faults.silentBack = step.kind != step_kind::SlowPath;
    path->faults.connectionsBefore = step.kind == step_kind::SilentPath ? path->connections : UINT64_MAX;
    co_await rest(step.length);
    path->faults = path_faults {};
}

static std::size_t runsOf(const platform::endpoint_standin& standin) { return standin.runs.size(); }

/** Notes requests that endpoints still get at @p since after a promise that they get none, in calm times. */
static asio::awaitable<void> checkQuiet(soak_world& world, std::vector<std::shared_ptr<platform::endpoint_standin>> standins, std::string what, milliseconds until)
{
    static constexpr milliseconds Stability { 4000 };
    static constexpr milliseconds Watched { 700 };
    const auto from = sinceBegun(world);
    co_await rest(until + LateSlack);
    std::size_t before = 0;
    std::size_t after = 0;
    for (const auto& standin : standins)
        before += runsOf(*standin);
    co_await rest(Watched);
    for (const auto& standin : standins)
        after += runsOf(*standin);
    if (after > before && isCalm(world.record.plan, from, sinceBegun(world), Stability))
        world.record.late.push_back(what + ": " + std::to_string(after - before) + " requests too late");
}

static asio::awaitable<void> endpointLeaves(soak_world& world, const soak_step step)
{
    auto* endpoint = endpointOf(world, step);
    if (!endpoint)
        co_return;
    const auto standin = endpoint->standin;
    const auto path = endpoint->path;
    publishEndpoint(world, *endpoint, true);
    addEndpoint(world);
    const std::vector<std::shared_ptr<platform::endpoint_standin>> standins(1, standin);
    co_await checkQuiet(world, standins, "drain of " + standin->id, DrainTime);
    removeObject(*world.store, "servers", standin->id);
    boost::system::error_code ignored; // It is closed once.
    path->acceptor->close(ignored);
    resetPath(*path);
}

static asio::awaitable<void> evacuate(soak_world& world, const soak_step step)
{
    const auto zone = std::next(world.endpoints.begin(), static_cast<std::ptrdiff_t>(step.target % world.endpoints.size()))->zone;
    std::vector<std::shared_ptr<platform::endpoint_standin>> standins;
    for (const auto& endpoint : world.endpoints) {
        if (endpoint.zone == zone)
            standins.push_back(endpoint.standin);
    }
    const bool again = world.store->kinds["evacuations"].count(zone) > 0;
    if (again)
        co_return;
    putObject(*world.store, "evacuations", zone, boost::json::object());
    co_await checkQuiet(world, standins, "evacuation of " + zone, EvacuationTime);
    removeObject(*world.store, "evacuations", zone);
}

static asio::awaitable<void> storeFault(soak_world& world, const soak_step step)
{
    auto& faults = world.store->faults;
    faults.down = step.kind == step_kind::StoreDown;
    faults.silent = step.kind == step_kind::StoreSilent;
    co_await rest(step.length);
    faults.down = faults.silent = false;
}

asio::awaitable<void> playStep(soak_world& world, soak_step step)
{
    auto& gate = gateOf(world, step);
    auto* endpoint = endpointOf(world, step);
    switch (step.kind) {
    case step_kind::KillGate:
        co_await killGate(world, gate, step.length / 4);
        break;
    case step_kind::StopGate:
        co_await stopGate(world, gate);
        break;
    case step_kind::PauseGate:
        co_await pauseGate(gate, step.length);
        break;
    case step_kind::HangUpGate:
        if (std::chrono::steady_clock::now() - gate.startedAt > LoadTime)
            signalGate(gate, SIGHUP);
        break;
    case step_kind::RollGates:
        for (auto& each : world.gates) {
            asio::co_spawn(world.context, stopGate(world, each), asio::detached);
            co_await rest(RollPause);
        }
        break;
    case step_kind::StoreDown:
    case step_kind::StoreSilent:
        co_await storeFault(world, step);
        break;
    case step_kind::StoreLosesReplies:
        world.store->faults.loseReplies += 3;
        break;
    case step_kind::StoreForgets:
        compactHistory(*world.store);
        break;
    case step_kind::CutFromStore:
        co_await faultPath(gate.storePath, step);
        break;
    case step_kind::EndpointMisbehaves:
        if (endpoint)
            co_await misbehave(endpoint->standin, step);
        break;
    case step_kind::SlowPath:
    case step_kind::SilentPath:
    case step_kind::OneWayPath:
        if (endpoint)
            co_await faultPath(endpoint->path, step);
        break;
    case step_kind::ResetPath:
        if (endpoint)
            resetPath(*endpoint->path);
        break;
    case step_kind::EndpointLeaves:
        co_await endpointLeaves(world, step);
        break;
    case step_kind::EvacuateZone:
        co_await evacuate(world, step);
        break;
    case step_kind::NewConfig:
        ++world.version;
        publishConfig(world);
        break;
    }
}

} // namespace lhub::soak
