/** @file self_report.cpp What endpoints say about themselves in their responses. */
#include "self_report/self_report_func.h"

#include "core/json_fields.h"
#include "limit/limit_func.h"
#include <algorithm>
#include <cmath>

namespace lhub {

/** Most states kept; those of endpoints that have ended are not removed otherwise. */
static constexpr std::size_t MaxSelfReports = 4096;
/** Rounds of gossip in which a VM sends an update; each VM that learns from it does the same, so that it reaches all within some rounds. */
static constexpr unsigned UpdateRounds = 2;
/** Most updates in one message, about 60 bytes each. */
static constexpr std::size_t MaxUpdatesPerMessage = 8;
/** Bounds on the values of a received message. */
static constexpr milliseconds MaxUpdateAge { std::chrono::hours(24) };
static constexpr double MaxLimit = 1e9;
/** Relative change of a limit that is logged and sent to other VMs. */
static constexpr double NotableLimitChange = 0.1;
/** Bound on the requests of one limit window; beyond it a limit limits nothing. */
static constexpr double MaxWindowRequests = 1e6;
/** Part of a limit that the VMs without a quota, all together, may use for requests that show whether the limit is still in force. */
static constexpr double TrialPart = 0.2;
/** Lower bound on these requests a second, all VMs together. */
static constexpr double MinTrialRate = 0.1;
/** Lower bound on the time between two of these requests of one VM. */
static constexpr milliseconds MinTrialInterval { 10'000 };

/** The state that holds for a registration of the endpoint: of this start, or of a newer one that is not registered here yet; null for none. */
template <typename Table>
static auto findState(Table& table, const std::string& id, std::int64_t startUnixMs) -> decltype(&table.find(id)->second)
{
    const auto found = table.find(id);
    return found != table.end() && found->second.startUnixMs >= startUnixMs ? &found->second : nullptr;
}

/** Makes the state one of this start, empty if it was of an older one. Precondition: @p startUnixMs is not older than the state's. */
static void beginStart(self_report_state& state, std::int64_t startUnixMs)
{
    if (state.startUnixMs == startUnixMs)
        return;
    state = {};
    state.startUnixMs = startUnixMs;
}

/** Drops the state with the oldest report if there are too many. */
static void dropOldest(self_report_table& table)
{
    if (table.size() <= MaxSelfReports)
        return;
    table.erase(std::min_element(table.begin(), table.end(), [](const auto& a, const auto& b) { return a.second.reportedAt < b.second.reportedAt; }));
}

/** Whether a limit differs so much from the one announced that it is announced again; small steps would fill the log and the network. */
static bool isNotableChange(const std::optional<double>& limit, const std::optional<double>& announced)
{
    if (limit.has_value() != announced.has_value())
        return true;
    return limit && std::abs(*limit - *announced) > NotableLimitChange * *announced;
}

/** Applies what holds for all VMs, and schedules it to be sent to others where it is new. @return what was not known before. */
static self_report_change applyShared(self_report_state& state, bool leaving, const std::optional<double>& requestsPerSecond, time_point reportedAt)
{
    self_report_change change;
    change.leaving = leaving && !state.leaving;
    state.leaving = state.leaving || leaving;
    state.requestsPerSecond = requestsPerSecond;
    state.reportedAt = reportedAt;
    change.limit = isNotableChange(requestsPerSecond, state.announcedLimit);
    if (change.limit)
        state.announcedLimit = requestsPerSecond;
    if (change.leaving || change.limit)
        state.roundsToSend = UpdateRounds;
    return change;
}

self_report_change recordSelfReport(self_report_table& table, const std::string& id, std::int64_t startUnixMs, const self_report& report, time_point now)
{
    const auto* known = findState(table, id, startUnixMs);
    const bool saysNothing = !report.leaving && report.pause.count() <= 0 && !report.requestsPerSecond;
    if (known ? known->startUnixMs != startUnixMs : saysNothing) // A newer start is known, or there is nothing to keep.
        return {};
    auto& state = table[id];
    beginStart(state, startUnixMs);
    auto change = applyShared(state, report.leaving, report.requestsPerSecond, now);
    change.paused = report.pause.count() > 0 && now + report.pause > state.pausedUntil;
    if (change.paused)
        state.pausedUntil = now + report.pause;
    dropOldest(table);
    return change;
}

self_report_change applyReportUpdate(self_report_table& table, const report_update& update, time_point now)
{
    const auto reportedAt = now - update.age;
    const auto* known = findState(table, update.id, update.startUnixMs);
    const bool newerKnown = known && known->reportedAt >= reportedAt;
    if (known && known->startUnixMs != update.startUnixMs)
        return {};
    if (newerKnown && !update.leaving) // Leaving is final, however old the report.
        return {};
    auto& state = table[update.id];
    beginStart(state, update.startUnixMs);
    const auto change = applyShared(state, update.leaving, newerKnown ? state.requestsPerSecond : update.requestsPerSecond, std::max(state.reportedAt, reportedAt));
    dropOldest(table);
    return change;
}

std::vector<report_update> nextReportUpdates(self_report_table& table, time_point now)
{
    std::vector<std::pair<const std::string, self_report_state>*> due;
    for (auto& item : table) {
        if (item.second.roundsToSend > 0)
            due.push_back(&item);
    }
    std::stable_sort(due.begin(), due.end(), [](const auto* a, const auto* b) { return a->second.roundsToSend > b->second.roundsToSend; });
    due.resize(std::min(due.size(), MaxUpdatesPerMessage));
    std::vector<report_update> updates;
    for (auto* item : due) {
        --item->second.roundsToSend;
        const auto age = std::chrono::duration_cast<milliseconds>(now - item->second.reportedAt);
        updates.push_back({ item->first, item->second.startUnixMs, item->second.leaving, item->second.requestsPerSecond, age });
    }
    return updates;
}

std::string encodeReportUpdates(const std::vector<report_update>& updates)
{
    json::array rows;
    for (const auto& update : updates)
        rows.push_back(json::array { update.id, update.startUnixMs, update.leaving, update.requestsPerSecond ? json::value(*update.requestsPerSecond) : json::value(), update.age.count() });
    return json::serialize(json::object { { "self_reports", std::move(rows) } });
}

std::vector<report_update> decodeReportUpdates(std::string_view message)
{
    const auto parsed = parseJson(message);
    if (!parsed)
        return {};
    std::vector<report_update> result;
    try {
        for (const auto& row : parsed->as_object().at("self_reports").as_array()) {
            const auto& cells = row.as_array();
            const auto age = milliseconds(std::clamp<std::int64_t>(cells.at(4).to_number<std::int64_t>(), 0, MaxUpdateAge.count()));
            report_update update { std::string(cells.at(0).as_string()), cells.at(1).to_number<std::int64_t>(), cells.at(2).as_bool(), std::nullopt, age };
            if (!cells.at(3).is_null())
                update.requestsPerSecond = std::clamp(cells.at(3).to_number<double>(), 0.0, MaxLimit);
            result.push_back(std::move(update));
        }
    } catch (const std::exception&) { // Malformed, as the empty result says.
        return {};
    }
    return result;
}

time_point pausedUntil(const self_report_table& table, const std::string& id, std::int64_t startUnixMs)
{
    const auto* state = findState(table, id, startUnixMs);
    return state ? state->pausedUntil : time_point {};
}

self_report_state* limitedState(self_report_table& table, const std::string& id, std::int64_t startUnixMs)
{
    auto* state = findState(table, id, startUnixMs);
    return state && state->requestsPerSecond ? state : nullptr;
}

std::uint32_t requestsPerLimitWindow(double requestsPerSecond)
{
    const double requests = requestsPerSecond * std::chrono::duration<double>(LimitWindow).count();
    return static_cast<std::uint32_t>(std::min(requests, MaxWindowRequests)) + 1;
}

bool maySendWithinLimit(self_report_state& state, std::uint32_t quota, std::size_t vms, time_point now)
{
    if (dispatchesWithin(state.dispatches, LimitWindow, now) < quota)
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
    return state && state->leaving;
}

} // namespace lhub
