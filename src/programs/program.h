/** @file program.h What all programs do in the same way: arguments, settings, logs, signals. */
#pragma once

#include "settings/settings_func.h"
#include <CLI/CLI.hpp>
#include <glog/logging.h>
#include <iostream>
#include <optional>

namespace lhub {

/** Exit codes of all programs; ExitBadSettings is 2. */
inline constexpr int ExitDone = 0;
inline constexpr int ExitFailed = 1;

/** Arguments that every serving program takes. */
struct program_arguments {
    std::string settingsFile; ///< Path of the settings.
    bool checkOnly = false; ///< Validate the settings and exit.
    std::string recordFile; ///< Where the trace goes; empty for none.
};

/** Adds the common arguments to @p app. */
inline void addArguments(CLI::App& app, program_arguments& arguments)
{
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("--settings", arguments.settingsFile, "settings file, JSON with comments")->required();
    app.add_flag("--check", arguments.checkOnly, "validate the settings and exit: 0 if they are right, 2 if not");
    app.add_option(
        "--record", arguments.recordFile, "write a trace of all events for lhub-replay (lhub-entry, lhub-agent)");
}

/** Outcomes that every recorded trace of an entry VM states. */
inline const std::vector<std::string> RecordedEntryOutcomes { "slots_never_exceeded", "credits_leave_the_reserve",
    "cap_never_exceeded", "not_run_did_not_run", "unrepeatable_ran_at_most_once", "versions_never_fall",
    "no_work_to_leaving_endpoints", "no_grant_without_lease" };

/** Logs to standard error; lines are flushed at once. */
inline void startLogs(const char* program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

/** Reads the settings; prints all faults. */
template <typename T>
std::optional<T> settingsOf(const program_arguments& arguments, const std::vector<json_field<T>>& table)
{
    auto settings = readSettings(arguments.settingsFile, table);
    if (!settings)
        std::cerr << settings.reason;
    return settings.value;
}

/**
 * The main of a program with a settings file: arguments, settings, --check, logs, then @p run.
 * @param check further checks of the settings; prints what is wrong and returns false.
 */
template <typename T>
int runProgram(
    int argc, char** argv, const std::string& about, const std::vector<json_field<T>>& table,
    const std::function<int(const T&, const program_arguments&)>& run,
    const std::function<bool(const T&)>& check = [](const T&) { return true; })
{
    CLI::App app(about);
    program_arguments arguments;
    addArguments(app, arguments);
    CLI11_PARSE(app, argc, argv);
    const auto settings = settingsOf(arguments, table);
    if (!settings || !check(*settings))
        return ExitBadSettings;
    if (arguments.checkOnly)
        return ExitDone;
    startLogs(argv[0]);
    return run(*settings, arguments);
}

} // namespace lhub
