/** @file soak_world.cpp Stand-ins and processes of a soak. */
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

static constexpr unsigned MemoryMb = 160; ///< Bound on a process, as on the users' smallest VMs.
static constexpr unsigned Descriptors = 4100; ///< The same.
/** Zones and their regions; two regions, one with two zones. */
static const std::vector<std::pair<std::string, std::string>> Zones { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };

milliseconds sinceBegun(const soak_world& world) { return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - world.begun); }

asio::awaitable<void> rest(milliseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    co_await timer.async_wait(asio::use_awaitable);
}

/** Different ports that are free on all loopback addresses now. */
static std::vector<std::uint16_t> freePorts(soak_world& world, std::size_t count)
{
    // Held until all are chosen: the kernel may offer a port again at once.
    std::vector<tcp::acceptor> held;
    std::vector<std::uint16_t> ports;
    held.reserve(count);
    ports.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        held.emplace_back(world.context, tcp::endpoint(tcp::v4(), 0));
        ports.push_back(held.back().local_endpoint().port());
    }
    return ports;
}

static void writeSettings(soak_world& world, const soak_gate& gate, std::uint16_t readyPort, std::uint16_t peerPort, std::uint16_t gossipPort)
{
    json::object zones;
    for (const auto& [zone, region] : Zones)
        zones[zone] = region;
    json::array seeds;
    for (std::size_t i = 0; i < world.gates.size() && i < 3; ++i)
        seeds.emplace_back(world.gates[i].ip + ":" + std::to_string(peerPort));
    const auto at = [&](std::uint16_t port) { return gate.ip + ":" + std::to_string(port); };
    const auto region = std::find_if(Zones.begin(), Zones.end(), [&](const auto& zone) { return zone.first == gate.zone; })->second;
    const json::value settings { { "vm", gate.name }, { "ip", gate.ip }, { "zone", gate.zone }, { "region", region }, { "zones", zones },
        { "callers", at(world.callerPort) }, { "ready", at(readyPort) }, { "lookups", at(world.lookupPort) }, { "peers", at(peerPort) },
        { "seeds", seeds }, { "first_start", false }, { "gossip_port", gossipPort }, { "store", addressText(gate.storePath->acceptor->local_endpoint()) },
        { "max_descriptors", Descriptors }, { "memory_mb", MemoryMb },
        { "bounds", { { "drain_ms", 2500 }, { "grace_s", 6 }, { "retry_ratio", 0.2 }, { "retry_window_s", 10 }, { "retry_slack", 64 }, { "ttl_max_s", 5 }, { "stability_ms", 4000 } } } };
    std::ofstream(world.settings.directory + "/" + gate.name + ".json") << json::serialize(settings);
}

outcome<bool> startGate(soak_world& world, soak_gate& gate)
{
    const auto file = world.settings.directory + "/" + gate.name + ".json";
    const auto log = world.settings.directory + "/" + gate.name + ".log";
    std::vector<std::string> words { world.settings.program, "--settings", file };
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // The sockets of this process are not for the child: it would keep connections open that have ended here.
    static constexpr int FirstSocket = 3;
    posix_spawn_file_actions_addclosefrom_np(&actions, FirstSocket);
    const int error = posix_spawn(&gate.pid, words[0].c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        return failure<bool>(world.settings.program + ": cannot be started");
    ++gate.starts;
    gate.startedAt = std::chrono::steady_clock::now();
    gate.expectedEnd = false;
    return success(true);
}

/** A route of the only host to the only service. */
static route routeOf(const std::string& name, const std::string& prefix, bool repeatable)
{
    route result;
    result.name = name;
    result.host = "soak";
    result.prefix = prefix;
    result.repeatable = repeatable;
    result.timeout = milliseconds(2000);
    result.objective = milliseconds(400);
    result.maxAttempts = 2;
    result.priority = 1;
    result.affinity = true;
    result.targets = { { "s", 1 } };
    return result;
}

/** The configuration of a version: every version has a route of its own and drops the one of the version before. */
static route_config configOf(unsigned version)
{
    route_config config;
    config.version = version;
    config.routes = { routeOf("read", "/read/", true), routeOf("write", "/write/", false), routeOf("version", "/v" + std::to_string(version) + "/", true) };
    config.services["s"] = { "s", 300, milliseconds(0), 0 };
    return config;
}

void publishConfig(soak_world& world) { putObject(*world.store, "config", "main", platform::encodeConfig(configOf(world.version))); }

static endpoint_entry entryOf(const soak_endpoint& endpoint)
{
    endpoint_entry entry;
    entry.id = endpoint.standin->id;
    entry.service = "s";
    entry.zone = endpoint.zone;
    entry.address = addressText(endpoint.path->acceptor->local_endpoint());
    entry.slots = 3;
    entry.leaving = endpoint.leaving;
    entry.born = 1;
    return entry;
}

void publishEndpoint(soak_world& world, soak_endpoint& endpoint, bool leaving)
{
    endpoint.leaving = leaving;
    putObject(*world.store, "servers", endpoint.standin->id, platform::encodeEntry(entryOf(endpoint)));
}

void addEndpoint(soak_world& world)
{
    soak_endpoint endpoint;
    const auto number = world.endpoints.size();
    endpoint.standin = std::make_shared<platform::endpoint_standin>();
    endpoint.standin->id = "e" + std::to_string(number);
    endpoint.standin->namesRequest = true;
    endpoint.standin->work = milliseconds(10 + 5 * (number % 4));
    endpoint.standin->answerBytes = number % 4 == 0 ? 200'000 : 400;
    endpoint.zone = Zones[number % Zones.size()].first;
    endpoint.acceptor = std::make_unique<tcp::acceptor>(world.context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    endpoint.path = makePath(world, endpoint.acceptor->local_endpoint(), "127.0.0.1");
    asio::co_spawn(world.context, platform::serveEndpoint(*endpoint.acceptor, endpoint.standin), asio::detached);
    world.endpoints.push_back(std::move(endpoint));
    publishEndpoint(world, world.endpoints.back(), false);
}

outcome<bool> buildWorld(soak_world& world)
{
    std::filesystem::create_directories(world.settings.directory);
    const auto ports = freePorts(world, 5);
    world.callerPort = ports[0];
    world.lookupPort = ports[1];
    world.storeAcceptor = std::make_unique<tcp::acceptor>(world.context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::co_spawn(world.context, serveHttp(*world.storeAcceptor, platform::makePlatformStoreHandler(world.store), {}), asio::detached);
    publishConfig(world);
    for (unsigned i = 0; i < world.settings.endpoints; ++i)
        addEndpoint(world);
    for (unsigned i = 0; i < world.settings.gates; ++i) {
        soak_gate gate;
        gate.name = "vm" + std::to_string(i);
        gate.ip = "127.0." + std::to_string(1 + i / 250) + "." + std::to_string(1 + i % 250);
        gate.zone = Zones[i % Zones.size()].first;
        gate.storePath = makePath(world, world.storeAcceptor->local_endpoint(), "127.0.0.1");
        world.gates.push_back(std::move(gate));
    }
    for (auto& gate : world.gates) {
        writeSettings(world, gate, ports[2], ports[3], ports[4]);
        auto started = startGate(world, gate);
        if (!started)
            return started;
    }
    return success(true);
}

/** A number of the process's status file, in kilobytes. */
static unsigned long statusOf(int pid, const std::string& name)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(name + ":", 0) == 0)
            return std::strtoul(line.c_str() + name.size() + 1, nullptr, 10);
    }
    return 0;
}

static std::size_t descriptorsOf(int pid)
{
    std::error_code error; // A process that has just ended has none.
    std::size_t count = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", error))
        count += entry.path().empty() ? 0 : 1;
    return count;
}

void watchGates(soak_world& world)
{
    for (auto& gate : world.gates) {
        int status = 0;
        if (gate.pid == 0)
            continue;
        if (::waitpid(gate.pid, &status, WNOHANG) == gate.pid) {
            if (!gate.expectedEnd)
                world.record.ends.push_back("ended: " + gate.name + " ended by itself, status " + std::to_string(status));
            gate.pid = 0;
            continue;
        }
        static constexpr unsigned long Kilobytes = 1024;
        if (statusOf(gate.pid, "VmHWM") > MemoryMb * Kilobytes)
            world.record.ends.push_back("memory: " + gate.name + " grew beyond " + std::to_string(MemoryMb) + " MB");
        if (descriptorsOf(gate.pid) > Descriptors)
            world.record.ends.push_back("descriptors: " + gate.name + " has more than " + std::to_string(Descriptors));
    }
}

void endWorld(soak_world& world)
{
    watchGates(world);
    for (auto& gate : world.gates) {
        if (gate.pid == 0)
            continue;
        gate.expectedEnd = true;
        ::kill(gate.pid, SIGKILL);
        int status = 0;
        ::waitpid(gate.pid, &status, 0);
        gate.pid = 0;
    }
    for (const auto& endpoint : world.endpoints) {
        for (const auto& [id, runs] : endpoint.standin->runs)
            world.record.runs[id] += runs;
    }
}

} // namespace lhub::soak
