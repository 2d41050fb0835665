/** @file lhub_report.cpp The program lhub-report: status, burn rates and moved requests of all entry VMs. */
#include "programs/program.h"
#include "report/burn_report.h"
#include "report/loss_report.h"
#include "report/report_func.h"
#include <fstream>

namespace lhub {

namespace {

    constexpr milliseconds SampleInterval { 50 };
    constexpr milliseconds CapWindow { 1000 }; ///< The cap of a shift is in requests a second.

    /** Options of all commands. */
    struct report_options {
        std::vector<std::string> entries; ///< Addresses of the entry VMs, IP:port.
        std::vector<std::string> logs; ///< Log files of entry VMs, for losses.
        std::int64_t seconds = 10; ///< How long to watch or wait.
        std::uint64_t revision = 0; ///< Configuration revision to wait for.
        std::string output = "text"; ///< "text", "json" or "html".
        std::uint64_t cap = 0; ///< Most requests that shifts may move a second; 0: no limit.
    };

} // namespace

static asio::awaitable<void> sleepFor(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

static asio::awaitable<int> printStatus(const report_options& options, const clock_source& clock)
{
    const auto sample = co_await sampleFleet(options.entries, clock);
    std::cout << formatFleetStatus(sample);
    co_return commonRevision(sample) > 0 ? ExitDone : ExitFailed;
}

/** Waits until every reached VM has the revision in force. */
static asio::awaitable<int> waitForRevision(const report_options& options, const clock_source& clock)
{
    const auto startedAt = clock.now();
    while (clock.now() < startedAt + seconds(options.seconds)) {
        const auto sample = co_await sampleFleet(options.entries, clock);
        if (commonRevision(sample) >= options.revision) {
            std::cout << "in force everywhere after " << elapsed(startedAt, clock.now()).count() << " ms\n";
            co_return ExitDone;
        }
        co_await sleepFor(SampleInterval);
    }
    std::cout << "not in force everywhere after " << options.seconds << " s\n";
    co_return ExitFailed;
}

/** Samples all VMs and prints how many requests were moved, in total and at most in any second. */
static asio::awaitable<int> watchFleet(const report_options& options, const clock_source& clock)
{
    fleet_series series;
    const auto end = clock.now() + seconds(options.seconds);
    while (clock.now() < end) {
        series.samples.push_back(co_await sampleFleet(options.entries, clock));
        co_await sleepFor(SampleInterval);
    }
    std::uint64_t moved = 0;
    for (std::size_t i = 1; i < series.samples.size(); ++i)
        moved += counterIncrease(series.samples[i - 1], series.samples[i], "counters.moved");
    const auto highest = maxCounterIncrease(series, "counters.moved", CapWindow);
    std::cout << "moved " << moved << ", most in any second " << highest << ", cap " << options.cap << ", samples "
              << series.samples.size() << "\n";
    co_return options.cap == 0 || highest <= options.cap ? ExitDone : ExitFailed;
}

/** Prints the report on burn rates. Exit code 1 if an alarm is raised. */
static asio::awaitable<int> printBurn(const report_options& options, const clock_source& clock)
{
    const auto report = makeReport(co_await sampleFleet(options.entries, clock));
    if (options.output == "json")
        std::cout << json::serialize(reportJson(report)) << "\n";
    else
        std::cout << (options.output == "html" ? reportHtml(report) : reportText(report));
    for (const auto& service : report.services) {
        for (const auto& row : service.rows) {
            if (row.state == burn_state::Burning)
                co_return ExitFailed;
        }
    }
    co_return ExitDone;
}

/** Reads the logs and prints where requests were lost and why. */
static asio::awaitable<int> printLosses(const report_options& options, const clock_source&)
{
    loss_report report;
    for (const auto& path : options.logs) {
        std::ifstream log(path);
        if (!log) {
            std::cerr << path << ": cannot be read\n";
            co_return ExitFailed;
        }
        addLog(report, log);
    }
    if (options.output == "csv")
        std::cout << lossCsv(report);
    else
        std::cout << (options.output == "svg" ? lossSvg(report) : lossText(report));
    co_return ExitDone;
}

static int runReport(int argc, char** argv)
{
    using report_command = asio::awaitable<int> (*)(const report_options&, const clock_source&);
    CLI::App app("figures of the entry VMs: status, spread of a change, shifts against their caps");
    report_options options;
    report_command command = printStatus;
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("--entry", options.entries, "entry VMs, IP:port; required by all commands but losses");
    app.add_option("--seconds", options.seconds, "how long to watch or to wait");
    app.require_subcommand(1);
    auto* losses = app.add_subcommand("losses", "where requests were late or not served, and why, from logs of lhub-gate");
    losses->add_option("logs", options.logs, "log files")->required();
    losses->add_option("--output", options.output, "text, csv or svg")->check(CLI::IsMember({ "text", "csv", "svg" }));
    losses->callback([&] { command = printLosses; });
    app.add_subcommand("status", "a line for each VM")->callback([&] { command = printStatus; });
    auto* burn = app.add_subcommand("burn", "service-level burn, headroom, what is stale");
    burn->add_option("--output", options.output, "text, json or html")
        ->check(CLI::IsMember({ "text", "json", "html" }));
    burn->callback([&] { command = printBurn; });
    auto* wait = app.add_subcommand("wait", "until a revision is in force everywhere");
    wait->add_option("--revision", options.revision, "revision")->required();
    wait->callback([&] { command = waitForRevision; });
    auto* watch = app.add_subcommand("watch", "most requests moved in any second");
    watch->add_option("--cap", options.cap, "cap of the shifts; more in any second exits 1");
    watch->callback([&] { command = watchFleet; });
    CLI11_PARSE(app, argc, argv);
    if (options.entries.empty() && command != printLosses) {
        std::cerr << "--entry is required\n";
        return ExitBadSettings;
    }
    asio::io_context context(1);
    const system_clock_source clock;
    int code = ExitFailed;
    asio::co_spawn(context, command(options, clock), [&](const std::exception_ptr&, int result) { code = result; });
    context.run();
    return code;
}

} // namespace lhub

int main(int argc, char** argv) { return lhub::runReport(argc, argv); }
