/** @file self_report.cpp What endpoints say about themselves in their responses. */
#include "self_report/self_report_func.h"

#include "limit/limit_func.h"
#include <algorithm>

namespace lhub {

/** Most states kept; those of endpoints that have ended are not removed otherwise. */
static constexpr std::size_t MaxSelfReports = 4096;
/** Bound on the requests of one limit window; beyond it a limit limits nothing. */
static constexpr double MaxWindowRequests = 1e6;
/** Requests with which VMs without a quota ask whether a limit is still in force: this part of the limit, all VMs together, */
static constexpr double TrialPart = 0.2;
/** but at least this many a second, */
static constexpr double MinTrialRate = 0.1;
/** and each VM at most one in this time. */
static constexpr milliseconds MinTrialInterval { 10'000 };

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
    const bool saysNothing = !report.leaving && report.pause.count() <= 0 && !report.requestsPerSecond;
    if (!known && saysNothing)
        return {};
    auto& state = table[id];
    if (!known) {
        state = {};
        state.startUnixMs = startUnixMs;
    }
    state.reportedAt = now;
    self_report_change change;
    change.leaving = report.leaving && state.leavingSince == time_point {};
    if (change.leaving)
        state.leavingSince = now;
    change.paused = report.pause.count() > 0 && now + report.pause > state.pausedUntil;
    if (change.paused)
        state.pausedUntil = now + report.pause;
    change.limit = report.requestsPerSecond != state.requestsPerSecond;
    if (change.limit) {
        state.requestsPerSecond = report.requestsPerSecond;
        state.quotaComputedAt = {};
    }
    dropOldest(table);
    return change;
}

time_point pausedUntil(const self_report_table& table, const std::string& id, std::int64_t startUnixMs)
{
    const auto* state = findState(table, id, startUnixMs);
    return state ? state->pausedUntil : time_point {};
}

self_report_state* limitedState(self_report_table& table, const std::string& id, std::int64_t startUnixMs)
{
    const auto found = table.find(id);
    const bool limited = found != table.end() && found->second.startUnixMs == startUnixMs && found->second.requestsPerSecond;
    return limited ? &found->second : nullptr;
}

std::uint32_t requestsPerLimitWindow(double requestsPerSecond)
{
    const double requests = requestsPerSecond * std::chrono::duration<double>(LimitWindow).count();
    return static_cast<std::uint32_t>(std::min(requests, MaxWindowRequests)) + 1;
}

bool maySendWithinLimit(self_report_state& state, std::size_t vms, time_point now)
{
    if (dispatchesWithin(state.dispatches, LimitWindow, now) < state.quota)
        return true;
    // Without a quota, the VM never learns that the limit is gone.
    const auto trialInterval = std::max(MinTrialInterval, milliseconds(static_cast<std::int64_t>(static_cast<double>(vms) / std::max(MinTrialRate, TrialPart * *state.requestsPerSecond) * 1000)));
    return now - state.reportedAt >= trialInterval && now - state.lastDispatchAt >= trialInterval;
}

void recordDispatch(self_report_state& state, time_point now)
{
    state.dispatches.sentTimes.push_back(now);
    state.lastDispatchAt = now;
}

bool hasReportedLeaving(const self_report_table& table, const std::string& id, std::int64_t startUnixMs)
{
    const auto* state = findState(table, id, startUnixMs);
    return state && state->leavingSince != time_point {};
}

} // namespace lhub
