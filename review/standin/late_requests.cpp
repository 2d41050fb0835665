/** @file late_requests.cpp A machine gets SIGTERM while clients still use connections that they have kept open to it. */
#include "cases.h"

#include <csignal>

namespace lhub::review {

static constexpr milliseconds Grace { 6000 }; ///< grace_s of the small deployments.
static constexpr milliseconds LossSlack { 200 }; ///< loss_slack_ms.
static constexpr milliseconds ExcusedUntil { 3000 }; ///< A request sent this long after SIGTERM at the latest may end early...
static constexpr milliseconds LastSixth { 5000 }; ///< ... when its upstream is still at work after this.
static constexpr milliseconds Timeout { 3000 }; ///< timeout_ms of the route.
static constexpr milliseconds Deadline { 6000 }; ///< deadline_ms of carving-book on the sheet of tsogt-pier.
static constexpr milliseconds Work { 1160 }; ///< work_ms of carving-book.
static constexpr unsigned Clients = 18;
static constexpr milliseconds Step { 300 }; ///< Between the requests of two clients after SIGTERM.

/** One client: opens a connection, uses it once before SIGTERM and once after it. */
static asio::awaitable<void> runClient(world& world, gate_process& gate, milliseconds first, milliseconds second)
{
    co_await sleepFor(first);
    const auto connection = co_await connectTo(world, gate);
    if (!connection)
        co_return;
    const auto before = co_await sendRequest(world, *connection, "POST", "/carving/book", Deadline);
    if (before.status == 0 || before.closes)
        co_return;
    const auto wait = second - std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - world.startedAt);
    if (wait.count() > 0)
        co_await sleepFor(wait);
    co_await sendRequest(world, *connection, "POST", "/carving/book", Deadline);
}

/** Counts the requests that break LOST: read by the machine that stops, and ended without a complete answer. */
static unsigned countLost(world& world, const std::string& gate, time_point stopAt)
{
    unsigned lost = 0;
    for (const auto& result : world.results) {
        if (result.gate != gate || result.status != 0 || result.sentAt == time_point {} || result.endedAt > stopAt + Grace + seconds(1))
            continue;
        const upstream_run* run = nullptr;
        for (const auto& each : world.runs)
            run = each.id == result.id ? &each : run;
        const bool passedOn = run != nullptr;
        const bool late = result.endedAt - result.sentAt > LossSlack;
        const bool timedOut = result.endedAt - result.sentAt >= std::min(Timeout, Deadline);
        const bool excused = passedOn && result.sentAt <= stopAt + ExcusedUntil && run->endedAt >= stopAt + LastSixth;
        const bool upstreamBroke = passedOn && run->end == run_end::Broken;
        if ((!passedOn && !late) || timedOut || excused || upstreamBroke)
            continue;
        ++lost;
        note(world, "LOST: " + result.id + " sent " + std::to_string(std::chrono::duration_cast<milliseconds>(result.sentAt - stopAt).count()) + " ms after SIGTERM, "
                + (passedOn ? "passed on to " + run->upstream : "not passed on") + ", connection ended " + std::to_string(std::chrono::duration_cast<milliseconds>(result.endedAt - stopAt).count()) + " ms after SIGTERM without an answer");
    }
    return lost;
}

asio::awaitable<int> playLateRequests(world& world)
{
    world.config.services["carving-desk"] = { "carving-desk", 390, seconds(3), 4 };
    world.config.routes = { makeRoute("book", "/carving/", "carving-desk", false, Timeout, milliseconds(800)) };
    world.config.limits.idleTimeout = milliseconds(15'000);
    publishConfig(world);
    for (const auto* zone : { "a1", "a1", "a2", "a2", "b1", "b1" })
        addUpstream(world, "i-" + std::to_string(world.upstreams.size() + 1), "carving-desk", zone, 4, Work);
    startMachines(world, { "a1", "a2", "b1" });
    const bool ready = co_await awaitReady(world, seconds(20));
    if (!ready)
        co_return CannotRun;
    co_await sleepFor(seconds(4));
    auto& stopping = world.gates.front();
    const auto firstRequests = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - world.startedAt);
    const auto stopAfter = firstRequests + milliseconds(4500);
    for (unsigned i = 0; i < Clients; ++i)
        asio::co_spawn(world.context, runClient(world, stopping, milliseconds(100) * i, stopAfter + milliseconds(100) + Step * i), asio::detached);
    co_await sleepFor(milliseconds(4500));
    const auto stopAt = std::chrono::steady_clock::now();
    if (world.trouble)
        signalGate(world, stopping, SIGTERM);
    co_await sleepFor(Grace);
    if (world.trouble)
        signalGate(world, stopping, SIGKILL);
    co_await sleepFor(milliseconds(2500));
    std::size_t unanswered = 0;
    for (const auto& result : world.results)
        unanswered += result.status == 0 ? 1 : 0;
    const auto lost = countLost(world, stopping.name, stopAt);
    note(world, std::to_string(world.results.size()) + " requests, " + std::to_string(unanswered) + " without a complete answer, " + std::to_string(lost) + " of them break LOST");
    co_return lost > 0 ? RuleBroken : RuleHeld;
}

} // namespace lhub::review
