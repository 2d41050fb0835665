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

self_report_change recordSelfReport(self_report_table& table, const std::string& id, std::int64_t startUnixMs, const self_report& report, time_point now)
{
    const bool known = findState(table, id, startUnixMs) != nullptr;
    const bool saysNothing = !report.leaving && report.pause.count() <= 0;
    if (!known && saysNothing)
        return {};
    auto& state = table[id];
    if (!known)
        state = { startUnixMs, now, {}, {} };
    state.reportedAt = now;
    self_report_change change;
    change.leaving = report.leaving && state.leavingSince == time_point {};
    if (change.leaving)
        state.leavingSince = now;
    change.paused = report.pause.count() > 0 && now + report.pause > state.pausedUntil;
    if (change.paused)
        state.pausedUntil = now + report.pause;
    dropOldest(table);
    return change;
}

time_point pausedUntil(const self_report_table& table, const std::string& id, std::int64_t startUnixMs)
{
    const auto* state = findState(table, id, startUnixMs);
    return state ? state->pausedUntil : time_point {};
}

bool hasReportedLeaving(const self_report_table& table, const std::string& id, std::int64_t startUnixMs)
{
    const auto* state = findState(table, id, startUnixMs);
    return state && state->leavingSince != time_point {};
}

} // namespace lhub
