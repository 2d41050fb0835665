/** @file soak.cpp The program lhub-soak: real processes of lhub-gate under faults from outside, and the promises checked. */
#include "platform/standin/operator_standin.h"
#include "soak/soak_world.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

namespace lhub::soak {

static constexpr milliseconds WatchPause { 200 }; ///< Between two looks at the processes.
static constexpr milliseconds StartTime { 15'000 }; ///< Longest time until the first VM is ready.
static constexpr milliseconds LastAnswers { 5500 }; ///< After the traffic, for answers that are due.

static asio::awaitable<void> playPlan(soak_world& world, bool verbose)
{
    for (const auto& step : world.record.plan) {
        if (step.at > sinceBegun(world))
            co_await rest(step.at - sinceBegun(world));
        if (verbose)
            std::cout << step.at.count() << " ms: " << nameOf(StepNames, step.kind) << " " << step.target % 100 << " for " << step.length.count() << " ms\n";
        asio::co_spawn(world.context, playStep(world, step), asio::detached);
    }
}

static asio::awaitable<void> watchAll(soak_world& world)
{
    while (!world.over) {
        watchGates(world);
        co_await rest(WatchPause);
    }
}

/** Waits until a VM answers look-ups. */
static asio::awaitable<bool> awaitStart(soak_world& world)
{
    http_request request(http::verb::get, platform::lookupTarget("soak", "a", "a1"), 11);
    for (milliseconds waited { 0 }; waited < StartTime; waited += WatchPause) {
        const auto reply = co_await httpCall({ asio::ip::make_address(world.gates[0].ip), world.lookupPort }, request, WatchPause);
        if (reply.result == http_result::Answered && reply.response.result() == http::status::ok)
            co_return true;
        co_await rest(WatchPause);
    }
    co_return false;
}

static asio::awaitable<void> playSoak(soak_world& world, bool verbose)
{
    const bool started = co_await awaitStart(world);
    if (!started)
        world.record.ends.push_back("start: no VM was ready");
    world.begun = std::chrono::steady_clock::now();
    asio::co_spawn(world.context, watchAll(world), asio::detached);
    for (unsigned i = 0; i < world.settings.callers; ++i)
        asio::co_spawn(world.context, playCaller(world, i), asio::detached);
    asio::co_spawn(world.context, playPlan(world, verbose), asio::detached);
    co_await rest(world.settings.length);
    world.over = true;
    co_await rest(LastAnswers);
    world.context.stop();
}

/** Plays one seed. @return whether all promises held. */
static bool runSeed(const soak_settings& settings, const soak_bounds& bounds, bool verbose)
{
    soak_world world;
    world.settings = settings;
    world.settings.directory += "/seed-" + std::to_string(settings.seed);
    std::filesystem::remove_all(world.settings.directory);
    world.record.plan = planSoak(settings.seed, settings.length);
    world.record.length = settings.length;
    const auto built = buildWorld(world);
    if (!built)
        world.record.ends.push_back(built.reason);
    if (built) {
        asio::co_spawn(world.context, playSoak(world, verbose), asio::detached);
        world.context.run();
    }
    endWorld(world);
    const auto broken = checkSoak(world.record, bounds);
    std::size_t served = 0;
    for (const auto& request : world.record.requests)
        served += request.status == 200 ? 1 : 0;
    std::cout << "seed " << settings.seed << ": " << world.record.plan.size() << " steps, " << world.record.requests.size() << " requests, " << served
              << " served, " << broken.size() << " promises broken" << std::endl;
    for (std::size_t i = 0; i < broken.size() && i < 10; ++i)
        std::cout << "  " << broken[i] << "\n";
    if (broken.empty())
        std::filesystem::remove_all(world.settings.directory);
    else
        std::cout << "  logs: " << world.settings.directory << "\n";
    return broken.empty();
}

} // namespace lhub::soak

int main(int argc, char** argv)
{
    CLI::App app("plays faults against real processes of lhub-gate and checks what callers and endpoints see");
    lhub::soak::soak_settings settings;
    lhub::soak::soak_bounds bounds;
    std::vector<std::uint64_t> seeds { 1 };
    unsigned length = 20;
    bool verbose = false;
    settings.directory = "build/soak";
    app.add_option("--program", settings.program, "the program under test");
    app.add_option("--seeds", seeds, "seeds to play, one after the other");
    app.add_option("--seconds", length, "length of the traffic")->check(CLI::Range(3, 600));
    app.add_option("--gates", settings.gates, "processes")->check(CLI::Range(1, 300));
    app.add_option("--endpoints", settings.endpoints, "endpoints")->check(CLI::Range(3, 200));
    app.add_option("--callers", settings.callers, "callers")->check(CLI::Range(1, 500));
    app.add_option("--directory", settings.directory, "for settings and logs");
    app.add_flag("--timed,!--no-timed", bounds.timed, "check promises on time, too; not on a busy machine");
    app.add_flag("--verbose", verbose, "print the steps");
    CLI11_PARSE(app, argc, argv);
    settings.length = std::chrono::seconds(length);
    bool held = true;
    for (const auto seed : seeds) {
        settings.seed = seed;
        held = lhub::soak::runSeed(settings, bounds, verbose) && held;
    }
    return held ? 0 : 1;
}
