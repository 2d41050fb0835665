/** @file program.h Code shared by the programs: arguments, settings, logging, exit codes. */
#pragma once

#include "settings/settings_func.h"
#include <CLI/CLI.hpp>
#include <glog/logging.h>
#include <iostream>
#include <optional>

namespace lhub {

/** Exit codes of all programs; for wrong settings they use ExitBadSettings, which is 2. */
inline constexpr int ExitDone = 0;
inline constexpr int ExitFailed = 1;

/** Arguments of every program that runs with a settings file. */
struct program_arguments {
    std::string settingsFile; ///< Path of the settings file.
    bool checkOnly = false; ///< Validate the settings and exit.
    std::string traceFile; ///< Path of the trace to write; empty for none.
};

/** Adds the options of program_arguments to @p app. */
inline void addCommonOptions(CLI::App& app, program_arguments& arguments)
{
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("--settings", arguments.settingsFile, "settings file, JSON with comments")->required();
    app.add_flag("--check", arguments.checkOnly, "validate the settings and exit: 0 if they are right, 2 if not");
    app.add_option(
        "--record", arguments.traceFile, "write a trace of all events for lhub-replay (lhub-entry, lhub-agent)");
}

/** Outcomes in the header of every trace that lhub-entry records. */
inline const std::vector<std::string> RecordedEntryOutcomes { "slots_never_exceeded", "credits_leave_the_reserve",
    "cap_never_exceeded", "not_run_did_not_run", "unrepeatable_ran_at_most_once", "versions_never_fall",
    "no_work_to_leaving_endpoints", "no_grant_without_lease" };

/** Initializes logging to standard error; lines are flushed at once. */
inline void initLogging(const char* program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

/** Reads the settings file. Prints all faults and returns nothing if there are any. */
template <typename T>
std::optional<T> loadSettings(const program_arguments& arguments, const std::vector<json_field<T>>& table)
{
    auto settings = readSettings(arguments.settingsFile, table);
    if (!settings)
        std::cerr << settings.reason;
    return settings.value;
}

/**
 * Common main function of a program with a settings file: parses the arguments, reads the settings, handles --check,
 * initializes logging and calls @p run.
 * @param check further checks of the settings; prints what is wrong and returns false on a fault.
 * @return exit code.
 */
template <typename T>
int runProgram(
    int argc, char** argv, const std::string& about, const std::vector<json_field<T>>& table,
    const std::function<int(const T&, const program_arguments&)>& run,
    const std::function<bool(const T&)>& check = [](const T&) { return true; })
{
    CLI::App app(about);
    program_arguments arguments;
    addCommonOptions(app, arguments);
    CLI11_PARSE(app, argc, argv);
    const auto settings = loadSettings(arguments, table);
    if (!settings || !check(*settings))
        return ExitBadSettings;
    if (arguments.checkOnly)
        return ExitDone;
    initLogging(argv[0]);
    return run(*settings, arguments);
}

} // namespace lhub
