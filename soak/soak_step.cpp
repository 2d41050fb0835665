/** @file soak_step.cpp Carries out the steps of a plan. */
#include "soak/soak_world.h"

#include <csignal>

namespace lhub::soak {

using platform::endpoint_behaviour;

static constexpr milliseconds GraceTime { 6000 }; ///< From SIGTERM to SIGKILL.
static constexpr milliseconds DrainTime { 2500 }; ///< After it a leaving endpoint gets no requests; drain_ms of the settings.
static constexpr milliseconds EvacuationTime { 5000 }; ///< After it an evacuated zone gets no requests.
static constexpr milliseconds TransitAllowance { 500 }; ///< For requests that were sent in time to arrive.
static constexpr milliseconds ProcessLoadTime { 50 }; ///< Until a new process has installed its signal handlers; an earlier signal ends it.
static constexpr milliseconds RollPause { 900 }; ///< Between the restarts of two VMs in a rolling restart.

static soak_gate& targetGate(soak_state& state, const soak_step& step) { return state.gates[step.target % state.gates.size()]; }

static void signalGate(const soak_gate& gate, int signal)
{
    if (gate.pid != 0)
        ::kill(gate.pid, signal);
}

static asio::awaitable<void> restartGate(soak_state& state, soak_gate& gate, milliseconds pause)
{
    static constexpr milliseconds PollInterval { 50 };
    while (gate.pid != 0) {
        checkProcesses(state);
        co_await sleepFor(PollInterval);
    }
    co_await sleepFor(pause);
    const auto started = startGate(state, gate);
    if (!started)
        state.record.processFailures.push_back(started.reason);
}

static asio::awaitable<void> stopGate(soak_state& state, soak_gate& gate)
{
    if (gate.pid == 0 || gate.expectedEnd)
        co_return;
    gate.expectedEnd = true;
    const int pid = gate.pid;
    const auto index = static_cast<unsigned>(&gate - state.gates.data());
    state.record.stops[{ index, gate.starts }] = sinceTrafficStart(state);
    signalGate(gate, SIGTERM);
    auto killAfterGraceTime = [](soak_state& state, soak_gate& gate, int pid) -> asio::awaitable<void> {
        co_await sleepFor(GraceTime);
        checkProcesses(state);
        if (gate.pid == pid)
            signalGate(gate, SIGKILL);
    };
    asio::co_spawn(state.context, killAfterGraceTime(state, gate, pid), asio::detached);
    co_await restartGate(state, gate, milliseconds(200));
}

static asio::awaitable<void> killGate(soak_state& state, soak_gate& gate, milliseconds pause)
{
    if (gate.pid == 0 || gate.expectedEnd)
        co_return;
    gate.expectedEnd = true;
    signalGate(gate, SIGKILL);
    co_await restartGate(state, gate, pause);
}

static asio::awaitable<void> pauseGate(soak_gate& gate, milliseconds duration)
{
    const int pid = gate.pid;
    signalGate(gate, SIGSTOP);
    co_await sleepFor(duration);
    if (gate.pid == pid)
        signalGate(gate, SIGCONT);
}

/** An endpoint that is not leaving; null when fewer than three are left. */
static soak_endpoint* targetEndpoint(soak_state& state, const soak_step& step)
{
    std::vector<soak_endpoint*> present;
    for (auto& endpoint : state.endpoints) {
        if (!endpoint.leaving)
            present.push_back(&endpoint);
    }
    return present.size() < 3 ? nullptr : present[step.target % present.size()];
}

static asio::awaitable<void> misbehaveFor(std::shared_ptr<platform::endpoint_standin> standin, const soak_step step)
{
    static constexpr std::array Behaviours { endpoint_behaviour::Cut, endpoint_behaviour::Reset, endpoint_behaviour::Silent, endpoint_behaviour::Surplus,
        endpoint_behaviour::StrayFirst, endpoint_behaviour::Shed, endpoint_behaviour::Error, endpoint_behaviour::Unframed, endpoint_behaviour::Stall,
        endpoint_behaviour::Forget, endpoint_behaviour::RefuseUnproved };
    standin->behaviour = Behaviours[step.variant % Behaviours.size()];
    co_await sleepFor(step.duration);
    standin->behaviour = endpoint_behaviour::Answer;
}

static asio::awaitable<void> injectProxyFaults(std::shared_ptr<loopback_proxy> proxy, const soak_step step)
{
    if (step.kind == step_kind::SlowPath)
        proxy->faults.delay = milliseconds(20 + step.variant % 300);
    proxy->faults.silentToServer = step.kind == step_kind::SilentPath || step.kind == step_kind::CutFromStore;
    proxy->faults.silentToClient = step.kind != step_kind::SlowPath;
    proxy->faults.silentBelow = step.kind == step_kind::SilentPath ? proxy->connections : UINT64_MAX;
    co_await sleepFor(step.duration);
    proxy->faults = proxy_faults {};
}

static std::size_t runsOf(const platform::endpoint_standin& standin) { return standin.runs.size(); }

/** Records when endpoints still run new requests once @p until and the allowance have passed, unless an unplanned step was near. */
static asio::awaitable<void> checkNoRequestsAfter(soak_state& state, std::vector<std::shared_ptr<platform::endpoint_standin>> standins, std::string what, milliseconds until)
{
    static constexpr milliseconds Stability { 4000 };
    static constexpr milliseconds ObservationTime { 700 };
    const auto from = sinceTrafficStart(state);
    co_await sleepFor(until + TransitAllowance);
    std::size_t before = 0;
    std::size_t after = 0;
    for (const auto& standin : standins)
        before += runsOf(*standin);
    co_await sleepFor(ObservationTime);
    for (const auto& standin : standins)
        after += runsOf(*standin);
    if (after > before && isCalm(state.record.plan, from, sinceTrafficStart(state), Stability))
        state.record.lateRequests.push_back(what + ": " + std::to_string(after - before) + " new requests after the time limit");
}

static asio::awaitable<void> endpointLeaves(soak_state& state, const soak_step step)
{
    auto* endpoint = targetEndpoint(state, step);
    if (!endpoint)
        co_return;
    const auto standin = endpoint->standin;
    const auto proxy = endpoint->proxy;
    publishEndpoint(state, *endpoint, true);
    addEndpoint(state);
    const std::vector<std::shared_ptr<platform::endpoint_standin>> standins(1, standin);
    co_await checkNoRequestsAfter(state, standins, "drain of " + standin->id, DrainTime);
    removeObject(*state.store, "servers", standin->id);
    boost::system::error_code ignored; // Nothing else closes it.
    proxy->acceptor->close(ignored);
    resetConnections(*proxy);
}

static asio::awaitable<void> evacuate(soak_state& state, const soak_step step)
{
    const auto zone = std::next(state.endpoints.begin(), static_cast<std::ptrdiff_t>(step.target % state.endpoints.size()))->zone;
    std::vector<std::shared_ptr<platform::endpoint_standin>> standins;
    for (const auto& endpoint : state.endpoints) {
        if (endpoint.zone == zone)
            standins.push_back(endpoint.standin);
    }
    const bool again = state.store->kinds["evacuations"].count(zone) > 0;
    if (again)
        co_return;
    putObject(*state.store, "evacuations", zone, boost::json::object());
    co_await checkNoRequestsAfter(state, standins, "evacuation of " + zone, EvacuationTime);
    removeObject(*state.store, "evacuations", zone);
}

static asio::awaitable<void> injectStoreFaults(soak_state& state, const soak_step step)
{
    auto& faults = state.store->faults;
    faults.down = step.kind == step_kind::StoreDown;
    faults.silent = step.kind == step_kind::StoreSilent;
    co_await sleepFor(step.duration);
    faults.down = faults.silent = false;
}

asio::awaitable<void> runStep(soak_state& state, soak_step step)
{
    auto& gate = targetGate(state, step);
    auto* endpoint = targetEndpoint(state, step);
    switch (step.kind) {
    case step_kind::KillGate:
        co_await killGate(state, gate, step.duration / 4);
        break;
    case step_kind::StopGate:
        co_await stopGate(state, gate);
        break;
    case step_kind::PauseGate:
        co_await pauseGate(gate, step.duration);
        break;
    case step_kind::HangUpGate:
        if (std::chrono::steady_clock::now() - gate.startedAt > ProcessLoadTime)
            signalGate(gate, SIGHUP);
        break;
    case step_kind::RollGates:
        for (auto& each : state.gates) {
            asio::co_spawn(state.context, stopGate(state, each), asio::detached);
            co_await sleepFor(RollPause);
        }
        break;
    case step_kind::StoreDown:
    case step_kind::StoreSilent:
        co_await injectStoreFaults(state, step);
        break;
    case step_kind::StoreLosesReplies:
        state.store->faults.loseReplies += 3;
        break;
    case step_kind::StoreForgets:
        compactHistory(*state.store);
        break;
    case step_kind::CutFromStore:
        co_await injectProxyFaults(gate.storeProxy, step);
        break;
    case step_kind::EndpointMisbehaves:
        if (endpoint)
            co_await misbehaveFor(endpoint->standin, step);
        break;
    case step_kind::SlowPath:
    case step_kind::SilentPath:
    case step_kind::OneWayPath:
        if (endpoint)
            co_await injectProxyFaults(endpoint->proxy, step);
        break;
    case step_kind::ResetPath:
        if (endpoint)
            resetConnections(*endpoint->proxy);
        break;
    case step_kind::EndpointLeaves:
        co_await endpointLeaves(state, step);
        break;
    case step_kind::EvacuateZone:
        co_await evacuate(state, step);
        break;
    case step_kind::NewConfig:
        ++state.configVersion;
        publishConfig(state);
        break;
    }
}

} // namespace lhub::soak
