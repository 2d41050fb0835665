/** @file settings_func.h Reading and checking settings files. */
#pragma once

#include "core/json_fields.h"
#include "settings/settings_type.h"
#include <fstream>
#include <sstream>

namespace lhub {

/** Exit code of a program whose settings file is not valid. */
inline constexpr int ExitBadSettings = 2;

/** The tables of fields of the settings files. Thread safe. */
const std::vector<json_field<vm_settings>>& vmSettingsFields();
const std::vector<json_field<admin_settings>>& adminSettingsFields();

/** Error message for the faults of one file, one on each line: file, key, value, expected value. Thread safe. */
std::string describeFaults(const std::string& file, const std::vector<field_fault>& faults);

/** Reads a settings file; fails with all faults, one on each line. Thread safe. */
template <typename T>
outcome<T> readSettings(const std::string& file, const std::vector<json_field<T>>& table)
{
    const std::ifstream input(file);
    if (!input)
        return failure<T>(file + ": cannot be read\n");
    std::stringstream text;
    text << input.rdbuf();
    const auto parsed = parseJson(text.str());
    if (!parsed)
        return failure<T>(file + ": " + parsed.reason + "\n");
    T settings {};
    const auto faults = readFields(table, *parsed, settings);
    if (!faults.empty())
        return failure<T>(describeFaults(file, faults));
    return success(std::move(settings));
}

} // namespace lhub
