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
};

/** Adds the common arguments to @p app. */
inline void addArguments(CLI::App& app, program_arguments& arguments)
{
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("--settings", arguments.settingsFile, "settings file, JSON with comments")->required();
    app.add_flag("--check", arguments.checkOnly, "validate the settings and exit: 0 if they are right, 2 if not");
}

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

} // namespace lhub
