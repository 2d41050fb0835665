/** @file settings.cpp Error messages for settings files. */
#include "settings/settings_func.h"

namespace lhub {

std::string describeFaults(const std::string& file, const std::vector<field_fault>& faults)
{
    std::string text;
    for (const auto& fault : faults)
        text += file + ": " + fault.field + ": " + fault.value + ": expected " + fault.expected + "\n";
    return text;
}

} // namespace lhub
