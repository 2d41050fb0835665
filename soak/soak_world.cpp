/** @file soak_world.cpp Test servers and processes of a soak. */
#include "soak/soak_world.h"
#include "platform/standin/operator_standin.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>

namespace lhub::soak {

namespace json = boost::json;

static constexpr unsigned MaxMemoryMb = 160; ///< Limit of a process, as on the users' smallest VMs.
static constexpr unsigned MaxDescriptors = 4100; ///< Limit of a process, as on the users' smallest VMs.
/** Zones and their regions. */
static const std::vector<std::pair<std::string, std::string>> Zones { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };

milliseconds sinceTrafficStart(const soak_state& state) { return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - state.trafficStartedAt); }

asio::awaitable<void> sleepFor(milliseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    co_await timer.async_wait(asio::use_awaitable);
}

/** Different ports that are free on all loopback addresses now. */
static std::vector<std::uint16_t> freePorts(soak_state& state, std::size_t count)
{
    // Kept open until all are chosen: the kernel may return a closed port again at once.
    std::vector<tcp::acceptor> acceptors;
    std::vector<std::uint16_t> ports;
    acceptors.reserve(count);
    ports.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        acceptors.emplace_back(state.context, tcp::endpoint(tcp::v4(), 0));
        ports.push_back(acceptors.back().local_endpoint().port());
    }
    return ports;
}

static void writeSettings(soak_state& state, const soak_gate& gate, std::uint16_t readyPort, std::uint16_t peerPort, std::uint16_t gossipPort)
{
    json::object zones;
    for (const auto& [zone, region] : Zones)
        zones[zone] = region;
    json::array seeds;
    for (std::size_t i = 0; i < state.gates.size() && i < 3; ++i)
        seeds.emplace_back(state.gates[i].ip + ":" + std::to_string(peerPort));
    const auto at = [&](std::uint16_t port) { return gate.ip + ":" + std::to_string(port); };
    const auto region = std::find_if(Zones.begin(), Zones.end(), [&](const auto& zone) { return zone.first == gate.zone; })->second;
    const json::value settings { { "vm", gate.name }, { "ip", gate.ip }, { "zone", gate.zone }, { "region", region }, { "zones", zones },
        { "callers", at(state.callerPort) }, { "ready", at(readyPort) }, { "lookups", at(state.lookupPort) }, { "peers", at(peerPort) },
        { "seeds", seeds }, { "first_start", false }, { "gossip_port", gossipPort }, { "store", addressText(gate.storeProxy->acceptor->local_endpoint()) },
        { "max_descriptors", MaxDescriptors }, { "memory_mb", MaxMemoryMb },
        { "bounds", { { "drain_ms", 2500 }, { "grace_s", 6 }, { "retry_ratio", 0.2 }, { "retry_window_s", 10 }, { "retry_slack", 64 }, { "ttl_max_s", 5 }, { "stability_ms", 4000 } } } };
    std::ofstream(state.settings.directory + "/" + gate.name + ".json") << json::serialize(settings);
}

outcome<bool> startGate(soak_state& state, soak_gate& gate)
{
    const auto file = state.settings.directory + "/" + gate.name + ".json";
    const auto log = state.settings.directory + "/" + gate.name + ".log";
    std::vector<std::string> commandLine { state.settings.program, "--settings", file };
    std::vector<char*> arguments;
    arguments.reserve(commandLine.size() + 1);
    for (auto& word : commandLine)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // The child must not inherit the sockets of this process: it would keep connections open that are closed here.
    static constexpr int FirstSocket = 3;
    posix_spawn_file_actions_addclosefrom_np(&actions, FirstSocket);
    const int error = posix_spawn(&gate.pid, commandLine[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        return failure<bool>(state.settings.program + ": cannot be started");
    ++gate.starts;
    gate.startedAt = std::chrono::steady_clock::now();
    gate.expectedEnd = false;
    return success(true);
}

/** A route of the only host, soak. */
static route routeOf(const std::string& name, const std::string& prefix, bool repeatable, milliseconds timeout = milliseconds(2000), const std::string& service = "s")
{
    route result;
    result.name = name;
    result.host = "soak";
    result.prefix = prefix;
    result.repeatable = repeatable;
    result.timeout = timeout;
    result.objective = milliseconds(400);
    result.maxAttempts = 2;
    result.priority = 1;
    result.affinity = true;
    result.targets = { { service, 1 } };
    return result;
}

/** Configuration of the scenario of habits: a route and a service for each of them. */
static route_config habitConfigOf(unsigned version)
{
    route_config config;
    config.version = version;
    for (const auto& demand : HabitDemands) {
        const std::string service(demand.service);
        config.routes.push_back(routeOf(service, "/" + service + "/", demand.repeatable, demand.deadline, service));
        config.services[service] = { service, 300, milliseconds(0), 0 };
    }
    return config;
}

/** Configuration of a version, with a route that only this version has. */
static route_config configOf(unsigned version)
{
    route_config config;
    config.version = version;
    config.routes = { routeOf("read", "/read/", true), routeOf("write", "/write/", false), routeOf("version", "/v" + std::to_string(version) + "/", true) };
    config.services["s"] = { "s", 300, milliseconds(0), 0 };
    return config;
}

void publishConfig(soak_state& state)
{
    const bool habits = state.settings.scenario == soak_scenario::Habits;
    putObject(*state.store, "config", "main", platform::encodeConfig(habits ? habitConfigOf(state.configVersion) : configOf(state.configVersion)));
}

static endpoint_registration entryOf(const soak_endpoint& endpoint)
{
    endpoint_registration entry;
    entry.id = endpoint.standin->id;
    entry.service = endpoint.service;
    entry.zone = endpoint.zone;
    entry.address = addressText(endpoint.proxy->acceptor->local_endpoint());
    entry.slots = endpoint.slots;
    entry.leaving = endpoint.leaving;
    entry.startUnixMs = 1;
    return entry;
}

void publishEndpoint(soak_state& state, soak_endpoint& endpoint, bool leaving)
{
    endpoint.leaving = leaving;
    putObject(*state.store, "servers", endpoint.standin->id, platform::encodeEntry(entryOf(endpoint)));
}

/** Assigns an endpoint to one of the habits, so that each has endpoints in all zones. */
static void serveHabit(soak_endpoint& endpoint, std::size_t number)
{
    static constexpr unsigned Slots = 60;
    const auto& demand = HabitDemands[number / Zones.size() % HabitDemands.size()];
    endpoint.service = demand.service;
    endpoint.slots = Slots;
    endpoint.standin->work = demand.work;
    endpoint.standin->answerBytes = demand.answerBytes;
}

void addEndpoint(soak_state& state)
{
    soak_endpoint endpoint;
    const auto number = state.endpoints.size();
    endpoint.standin = std::make_shared<platform::endpoint_standin>();
    endpoint.standin->id = "e" + std::to_string(number);
    endpoint.standin->namesRequest = true;
    // The work of the users' endpoints takes 300 to 1,200 ms.
    const bool slow = state.settings.scenario == soak_scenario::Planned;
    endpoint.standin->work = slow ? milliseconds(300 + 150 * (number % 7)) : milliseconds(10 + 5 * (number % 4));
    endpoint.standin->answerBytes = number % 4 == 0 ? 200'000 : 400;
    if (state.settings.scenario == soak_scenario::Habits)
        serveHabit(endpoint, number);
    endpoint.zone = Zones[number % Zones.size()].first;
    endpoint.acceptor = std::make_unique<tcp::acceptor>(state.context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    endpoint.proxy = makeProxy(state, endpoint.acceptor->local_endpoint(), "127.0.0.1");
    asio::co_spawn(state.context, platform::serveEndpoint(*endpoint.acceptor, endpoint.standin), asio::detached);
    state.endpoints.push_back(std::move(endpoint));
    publishEndpoint(state, state.endpoints.back(), false);
}

outcome<bool> setUp(soak_state& state)
{
    std::filesystem::create_directories(state.settings.directory);
    const auto ports = freePorts(state, 5);
    state.callerPort = ports[0];
    state.lookupPort = ports[1];
    state.storeAcceptor = std::make_unique<tcp::acceptor>(state.context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::co_spawn(state.context, serveHttp(*state.storeAcceptor, platform::makePlatformStoreHandler(state.store), {}), asio::detached);
    publishConfig(state);
    for (unsigned i = 0; i < state.settings.endpoints; ++i)
        addEndpoint(state);
    for (unsigned i = 0; i < state.settings.gates; ++i) {
        soak_gate gate;
        gate.name = "vm" + std::to_string(i);
        gate.ip = "127.0." + std::to_string(1 + i / 250) + "." + std::to_string(1 + i % 250);
        gate.zone = Zones[i % Zones.size()].first;
        gate.storeProxy = makeProxy(state, state.storeAcceptor->local_endpoint(), "127.0.0.1");
        state.gates.push_back(std::move(gate));
    }
    for (auto& gate : state.gates) {
        writeSettings(state, gate, ports[2], ports[3], ports[4]);
        auto started = startGate(state, gate);
        if (!started)
            return started;
    }
    return success(true);
}

/** A size in kB of /proc/PID/status; 0 when it cannot be read. */
static unsigned long statusField(int pid, const std::string& name)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(name + ":", 0) == 0)
            return std::strtoul(line.c_str() + name.size() + 1, nullptr, 10);
    }
    return 0;
}

static std::size_t openDescriptors(int pid)
{
    std::error_code error; // Set when the process has just ended; the count is then 0.
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error))
        count += entry.path().empty() ? 0 : 1;
    return count;
}

void checkProcesses(soak_state& state)
{
    for (auto& gate : state.gates) {
        int status = 0;
        if (gate.pid == 0)
            continue;
        if (::waitpid(gate.pid, &status, WNOHANG) == gate.pid) {
            if (!gate.expectedEnd)
                state.record.processFailures.push_back("ended: " + gate.name + " ended without being asked to, wait status " + std::to_string(status));
            gate.pid = 0;
            continue;
        }
        static constexpr unsigned long Kilobytes = 1024;
        if (statusField(gate.pid, "VmHWM") > MaxMemoryMb * Kilobytes)
            state.record.processFailures.push_back("memory: " + gate.name + " used more memory than " + std::to_string(MaxMemoryMb) + " MB");
        if (openDescriptors(gate.pid) > MaxDescriptors)
            state.record.processFailures.push_back("descriptors: " + gate.name + " has more than " + std::to_string(MaxDescriptors));
    }
}

void endProcesses(soak_state& state)
{
    checkProcesses(state);
    for (auto& gate : state.gates) {
        if (gate.pid == 0)
            continue;
        gate.expectedEnd = true;
        ::kill(gate.pid, SIGKILL);
        int status = 0;
        ::waitpid(gate.pid, &status, 0);
        gate.pid = 0;
    }
    for (const auto& endpoint : state.endpoints) {
        for (const auto& [id, runs] : endpoint.standin->runs)
            state.record.runs[id] += runs;
    }
}

} // namespace lhub::soak
