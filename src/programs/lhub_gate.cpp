/** @file lhub_gate.cpp The program lhub-gate: an entry VM on the platform in one process. */
#include "platform/settings.h"
#include "serve/serve_func.h"
#include <CLI/CLI.hpp>
#include <array>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace lhub {

static constexpr int ExitBadSettings = 2; ///< The settings are wrong or name no usable store.
static constexpr int ExitFailed = 1; ///< Listening at an address failed, or an exception ended the process.
static constexpr std::array StopSignals { SIGTERM, SIGINT }; ///< Each begins a graceful stop.
static constexpr milliseconds LogCloseTime { 100 }; ///< Longest wait for the reader of the log when the process ends without a graceful stop.

/** Changes whether StopSignals are blocked. @param how SIG_BLOCK or SIG_UNBLOCK. */
static void maskStopSignals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : StopSignals)
        sigaddset(&signals, signal);
    (void)::pthread_sigmask(how, &signals, nullptr); // Fails only for a wrong argument.
}

static outcome<gate_settings> readGateSettings(const std::string& path)
{
    const std::ifstream input(path);
    if (!input)
        return failure<gate_settings>(path + ": cannot be read\n");
    std::stringstream text;
    text << input.rdbuf();
    return platform::decodeSettings(path, text.str());
}

/** Runs the context until the graceful stop ends it. @return false when an exception did, which is logged. */
static bool runToEnd(asio::io_context& context, const clock_source& clock)
{
    try {
        context.run();
        return true;
    } catch (const std::exception& error) {
        logEvent("failed", { { "reason", error.what() } }, clock.now());
        return false;
    }
}

/** Serves until a graceful stop has ended. @param logUntil set to gate_shell::logUntil at the end. @return exit code. */
static int serveUntilStopped(const gate_settings& settings, const std::string& path, const clock_source& clock, time_point& logUntil)
{
    asio::io_context context(1);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    maskStopSignals(SIG_UNBLOCK); // A signal that has arrived since main() waits in the set until the context runs.
    const auto incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    gate_shell shell(context, clock, settings, path, makeGate(identityOf(settings), incarnation));
    auto store = platform::makeObjectStore(context.get_executor(), settings.storeAddress, StoreCallTimeout, shell.storeCalls);
    if (!store) {
        std::cerr << store.reason << "\n";
        return ExitBadSettings;
    }
    shell.store = std::move(*store);
    makeWatchedKinds(shell);
    const auto started = startServers(shell);
    if (!started) {
        std::cerr << started.reason << "\n";
        return ExitFailed;
    }
    logEvent("start", { { "vm", settings.vm }, { "zone", settings.zone }, { "version", LHUB_VERSION }, { "incarnation", std::to_string(incarnation) } }, clock.now());
    startGossip(shell);
    spawn(shell, "follow_store", followStore(shell));
    spawn(shell, "reload", reloadSettingsOnChange(shell));
    signals.async_wait([&](const error_code& error, int) {
        if (!error)
            spawn(shell, "stop", stopGracefully(shell));
    });
    const bool ended = runToEnd(context, clock);
    logUntil = shell.logUntil;
    maskStopSignals(SIG_BLOCK); // Without the signal set, a further signal would end the process before its log is read.
    return ended ? 0 : ExitFailed;
}

static int runGate(const gate_settings& settings, const std::string& path)
{
    const system_clock_source clock;
    openLog();
    time_point logUntil {};
    const int exitCode = serveUntilStopped(settings, path, clock, logUntil);
    // All sockets are closed: nobody else waits for this.
    closeLog(clock, logUntil == time_point {} ? clock.now() + LogCloseTime : logUntil);
    return exitCode;
}

} // namespace lhub

int main(int argc, char** argv)
{
    // Done first, because a signal during the start must not end the process at once. SIGHUP is not needed to reload the settings:
    // their file is checked for changes all the time.
    lhub::maskStopSignals(SIG_BLOCK);
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("laburnumhub entry VM on the platform: look-ups and forwarding in one process");
    std::string settingsOption;
    bool checkOnly = false;
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("--settings", settingsOption, "settings file, JSON with comments; default: the platform's own");
    app.add_flag("--check", checkOnly, "validate the settings and exit: 0 if they are right, 2 if not");
    CLI11_PARSE(app, argc, argv);
    const auto path = lhub::platform::settingsPath(settingsOption);
    const auto settings = lhub::readGateSettings(path);
    if (!settings) {
        std::cerr << settings.reason;
        return lhub::ExitBadSettings;
    }
    return checkOnly ? 0 : lhub::runGate(*settings, path);
}
