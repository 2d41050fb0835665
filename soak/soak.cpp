/** @file soak.cpp The program lhub-soak: injects faults into processes of lhub-gate and checks the guarantees to callers and endpoints. */
#include "platform/standin/operator_standin.h"
#include "soak/soak_world.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace lhub::soak {

static constexpr milliseconds PollInterval { 200 }; ///< Between two checks of the processes, or two look-ups during the start.
static constexpr milliseconds StartTimeout { 15'000 }; ///< Longest wait until the first VM answers look-ups.
static constexpr milliseconds FinalResponsesWait { 5500 }; ///< Wait after the traffic for responses that are still outstanding.

static asio::awaitable<void> runPlan(soak_state& state, bool verbose)
{
    for (const auto& step : state.record.plan) {
        if (step.at > sinceTrafficStart(state))
            co_await sleepFor(step.at - sinceTrafficStart(state));
        if (verbose)
            std::cout << step.at.count() << " ms: " << nameOf(StepNames, step.kind) << " " << step.target % 100 << " for " << step.duration.count() << " ms\n";
        asio::co_spawn(state.context, runStep(state, step), asio::detached);
    }
}

static asio::awaitable<void> watchProcesses(soak_state& state)
{
    while (!state.trafficEnded) {
        checkProcesses(state);
        co_await sleepFor(PollInterval);
    }
}

/** Waits until the first VM answers look-ups. @return false when it did not within StartTimeout. */
static asio::awaitable<bool> awaitStart(soak_state& state)
{
    http_request request(http::verb::get, platform::lookupTarget("soak", "a", "a1"), 11);
    for (milliseconds waited { 0 }; waited < StartTimeout; waited += PollInterval) {
        const auto reply = co_await httpCall({ asio::ip::make_address(state.gates[0].ip), state.lookupPort }, request, PollInterval);
        if (reply.result == http_result::ResponseReceived && reply.response.result() == http::status::ok)
            co_return true;
        co_await sleepFor(PollInterval);
    }
    co_return false;
}

static asio::awaitable<void> runSoak(soak_state& state, bool verbose)
{
    const bool started = co_await awaitStart(state);
    if (!started)
        state.record.processFailures.push_back("start: the first VM did not answer look-ups in time");
    state.trafficStartedAt = std::chrono::steady_clock::now();
    asio::co_spawn(state.context, watchProcesses(state), asio::detached);
    for (unsigned i = 0; i < state.settings.callers; ++i)
        asio::co_spawn(state.context, runCaller(state, i), asio::detached);
    asio::co_spawn(state.context, runPlan(state, verbose), asio::detached);
    co_await sleepFor(state.settings.duration);
    state.trafficEnded = true;
    co_await sleepFor(FinalResponsesWait);
    state.context.stop();
}

/** What a soak prints and keeps. */
struct output_options {
    bool verbose = false; ///< Prints each step of the plan and every violation.
    bool keep = false; ///< Keeps logs without violations, too, and writes the requests.
};

/** Writes one line for each request; times in milliseconds. The stop is empty when its VM had not got SIGTERM by the end of the request. */
static void writeRequests(const soak_state& state)
{
    std::ofstream file(state.settings.directory + "/requests.csv");
    file << "id,habit,vm,start,sent_at,ended_at,status,runs,stop_at\n";
    for (const auto& request : state.record.requests) {
        const auto runs = state.record.runs.find(request.id);
        const auto stop = state.record.stops.find({ request.gate, request.gateStart });
        const bool stopped = stop != state.record.stops.end() && stop->second <= request.endedAt;
        file << request.id << "," << nameOf(HabitNames, request.habit) << "," << request.gate << "," << request.gateStart << "," << request.sentAt.count() << ","
             << request.endedAt.count() << "," << request.status << "," << (runs == state.record.runs.end() ? 0 : runs->second) << ","
             << (stopped ? std::to_string(stop->second.count()) : "") << "\n";
    }
}

/** Runs the soak of one seed. @return whether no guarantee was violated. */
static bool runSeed(const soak_settings& settings, const soak_bounds& bounds, const output_options& options)
{
    soak_state state;
    state.settings = settings;
    state.settings.directory += "/seed-" + std::to_string(settings.seed);
    std::filesystem::remove_all(state.settings.directory);
    state.record.plan = planSoak(settings.seed, settings.duration, settings.scenario);
    state.record.scenario = settings.scenario;
    state.record.duration = settings.duration;
    const auto built = setUp(state);
    if (!built)
        state.record.processFailures.push_back(built.reason);
    if (built) {
        asio::co_spawn(state.context, runSoak(state, options.verbose), asio::detached);
        state.context.run();
    }
    endProcesses(state);
    const auto violations = checkSoak(state.record, bounds);
    std::size_t served = 0;
    for (const auto& request : state.record.requests)
        served += request.status == 200 ? 1 : 0;
    std::cout << "seed " << settings.seed << ": " << state.record.plan.size() << " steps, " << state.record.requests.size() << " requests, " << served
              << " served, " << violations.size() << " guarantees violated" << std::endl;
    for (std::size_t i = 0; i < violations.size() && (options.verbose || i < 10); ++i)
        std::cout << "  " << violations[i] << "\n";
    if (options.keep)
        writeRequests(state);
    if (violations.empty() && !options.keep)
        std::filesystem::remove_all(state.settings.directory);
    else
        std::cout << "  logs: " << state.settings.directory << "\n";
    return violations.empty();
}

} // namespace lhub::soak

int main(int argc, char** argv)
{
    CLI::App app("injects faults into processes of lhub-gate and checks what callers and endpoints observe");
    lhub::soak::soak_settings settings;
    lhub::soak::soak_bounds bounds;
    std::vector<std::uint64_t> seeds { 1 };
    unsigned duration = 20;
    lhub::soak::output_options options;
    settings.directory = "build/soak";
    app.add_option("--program", settings.program, "path of lhub-gate");
    app.add_option("--seeds", seeds, "seeds of the runs, one after the other");
    app.add_option("--seconds", duration, "duration of the traffic in seconds")->check(CLI::Range(3, 600));
    std::string scenario(lhub::nameOf(lhub::soak::ScenarioNames, settings.scenario));
    app.add_option("--scenario", scenario, "faults, or planned: planned operations only, slow endpoints, idle connections, or habits: stops in turn, callers with the users' habits")->check(CLI::IsMember({ "faults", "planned", "habits" }));
    app.add_option("--gates", settings.gates, "processes of lhub-gate")->check(CLI::Range(1, 300));
    app.add_option("--endpoints", settings.endpoints, "endpoints")->check(CLI::Range(3, 200));
    app.add_option("--callers", settings.callers, "callers")->check(CLI::Range(1, 500));
    app.add_option("--directory", settings.directory, "directory for settings and logs");
    app.add_flag("--timed,!--no-timed", bounds.checkTiming, "also check time limits; not on a busy machine, which delays everything");
    app.add_flag("--verbose", options.verbose, "print each step of the plan and every violation");
    app.add_flag("--keep", options.keep, "keep the logs of seeds without violations, too, and write all requests to requests.csv beside them");
    CLI11_PARSE(app, argc, argv);
    settings.duration = std::chrono::seconds(duration);
    for (const auto& row : lhub::soak::ScenarioNames)
        settings.scenario = row.name == scenario ? row.value : settings.scenario;
    bool allPassed = true;
    for (const auto seed : seeds) {
        settings.seed = seed;
        allPassed = lhub::soak::runSeed(settings, bounds, options) && allPassed;
    }
    return allPassed ? 0 : 1;
}
