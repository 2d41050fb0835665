/** @file self_report.cpp What endpoints say about themselves in their responses. */
#include "self_report/self_report_func.h"

#include <algorithm>

namespace lhub {

/** Most states kept; those of endpoints that have ended are not removed otherwise. */
static constexpr std::size_t MaxSelfReports = 4096;

/** The state of this start of the endpoint; null when it has reported nothing. */
static const self_report_state* findState(const self_report_table& table, const std::string& id, std::int64_t startUnixMs)
{
    const auto found = table.find(id);
    return found != table.end() && found->second.startUnixMs == startUnixMs ? &found->second : nullptr;
}

/** Drops the state with the oldest report if there are too many. */
static void dropOldest(self_report_table& table)
{
    if (table.size() <= MaxSelfReports)
        return;
    table.erase(std::min_element(table.begin(), table.end(), [](const auto& a, const auto& b) { return a.second.reportedAt < b.second.reportedAt; }));
}

bool recordSelfReport(self_report_table& table, const std::string& id, std::int64_t startUnixMs, const self_report& report, time_point now)
{
    const bool known = findState(table, id, startUnixMs) != nullptr;
    if (!known && !report.leaving)
        return false;
    auto& state = table[id];
    if (!known)
        state = { startUnixMs, now, {} };
    state.reportedAt = now;
    const bool newlyLeaving = report.leaving && state.leavingSince == time_point {};
    if (newlyLeaving)
        state.leavingSince = now;
    dropOldest(table);
    return newlyLeaving;
}

bool hasReportedLeaving(const self_report_table& table, const std::string& id, std::int64_t startUnixMs)
{
    const auto* state = findState(table, id, startUnixMs);
    return state && state->leavingSince != time_point {};
}

} // namespace lhub
