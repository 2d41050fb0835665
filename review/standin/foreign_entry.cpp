/** @file foreign_entry.cpp Another writer leaves an entry among those of the upstreams; later an upstream leaves as planned. */
#include "cases.h"

#include <csignal>

namespace lhub::review {

static constexpr milliseconds DrainTime { 2500 }; ///< drain_ms.
static constexpr milliseconds LittleLonger { 1500 }; ///< For which the upstream serves after it; the pages allow many seconds.
static constexpr milliseconds Work { 300 };
static constexpr milliseconds Timeout { 3000 };
static constexpr milliseconds RecoveryTime { 15'000 }; ///< recovery_s.

/** Sends requests over new connections until @p stop is set. */
static asio::awaitable<void> runClient(world& world, unsigned number, std::shared_ptr<bool> stop)
{
    auto gate = std::next(world.gates.begin(), number % world.gates.size());
    while (!*stop) {
        const auto connection = co_await connectTo(world, *gate);
        if (connection)
            co_await sendRequest(world, *connection, number % 2 == 0 ? "GET" : "PUT", number % 2 == 0 ? "/till/read" : "/till/pay/now", Timeout);
        co_await sleepFor(milliseconds(150));
    }
}

/** The entry of another writer. VARIANT chooses its content: bytes that cannot be read, or a field of another type. */
static boost::json::value foreignEntry()
{
    const char* const variant = std::getenv("VARIANT");
    if (variant && std::string(variant) == "nested") {
        boost::json::value list = boost::json::array();
        for (int depth = 0; depth < 40; ++depth)
            list = boost::json::array { list };
        return { { "address", "127.0.0.1:9" }, { "info", list } };
    }
    return { { "address", "127.0.0.1:9" }, { "info", "\xff\xfe\x80" } };
}

asio::awaitable<int> playForeignEntry(world& world)
{
    world.config.services["pledge-till"] = { "pledge-till", 390, seconds(3), 4 };
    world.config.routes = { makeRoute("read", "/till/", "pledge-till", true, Timeout, milliseconds(800)), makeRoute("pay", "/till/pay/", "pledge-till", false, Timeout, milliseconds(800)) };
    publishConfig(world);
    for (const auto* zone : { "a1", "a1", "a2", "a2", "b1", "b1" })
        addUpstream(world, "i-" + std::to_string(world.upstreams.size() + 1), "pledge-till", zone, 4, Work);
    startMachines(world, { "a1", "a2", "b1" });
    const bool ready = co_await awaitReady(world, seconds(20));
    if (!ready)
        co_return CannotRun;
    const auto stop = std::make_shared<bool>(false);
    for (unsigned i = 0; i < 12; ++i)
        asio::co_spawn(world.context, runClient(world, i, stop), asio::detached);
    co_await sleepFor(seconds(5));
    if (world.trouble) {
        platform::putObject(*world.store, "servers", "other-writer", foreignEntry());
        note(world, "another writer: entry servers/other-writer");
    }
    co_await sleepFor(seconds(5));
    auto& leaving = world.upstreams.front();
    leaving.entry.leaving = true;
    registerUpstream(world, leaving);
    const auto drainAt = std::chrono::steady_clock::now();
    co_await sleepFor(DrainTime + LittleLonger);
    endUpstream(world, leaving);
    platform::removeObject(*world.store, "servers", leaving.entry.id);
    note(world, "store: entry of upstream " + leaving.entry.id + " removed");
    co_await sleepFor(seconds(3));
    unsigned late = 0;
    for (const auto& run : world.runs)
        late += run.upstream == leaving.entry.id && run.arrivedAt > drainAt + DrainTime ? 1 : 0;
    unsigned lost = 0;
    for (const auto& result : world.results)
        lost += result.method == "PUT" && result.sentAt > drainAt + DrainTime && (result.status == 0 || result.status == 502 || result.status == 504) ? 1 : 0;
    note(world, "DRAIN: " + std::to_string(late) + " requests reached " + leaving.entry.id + " later than drain_ms after the store had acknowledged that it is draining");
    note(world, "seen besides: " + std::to_string(lost) + " non-idempotent requests sent after that ended with 502, 504 or without an answer");
    // What follows is not judged: all processes are killed and start again.
    for (auto& gate : world.gates)
        signalGate(world, gate, SIGKILL);
    co_await sleepFor(seconds(1));
    for (auto& gate : world.gates)
        startGate(world, gate);
    co_await sleepFor(RecoveryTime);
    unsigned readyAgain = 0;
    for (auto& gate : world.gates) {
        const bool readyNow = co_await isReady(world, gate);
        readyAgain += readyNow ? 1 : 0;
    }
    *stop = true;
    note(world, "seen besides: " + std::to_string(readyAgain) + " of " + std::to_string(world.gates.size()) + " machines are ready " + std::to_string(RecoveryTime.count()) + " ms after a restart of all");
    co_return late > 0 ? RuleBroken : RuleHeld;
}

} // namespace lhub::review
