/** @file entry_metrics.cpp Metrics and status document of lhub-entry. */
#include "burn_rate/burn_rate_func.h"
#include "core/json_fields.h"
#include "pool/pool_func.h"
#include "shell/entry_shell.h"

#include <sstream>

namespace lhub {

namespace {

    /** A counter and its name in the metrics and the status. */
    struct counter_row {
        std::uint64_t entry_counters::*member; ///< The counter.
        std::string_view name; ///< Its name, in the metrics between "lhub_" and "_total".
    };

} // namespace

static constexpr std::array<counter_row, 11> CounterRows { {
    { &entry_counters::lookups, "lookups" },
    { &entry_counters::requests, "requests" },
    { &entry_counters::whole, "whole" },
    { &entry_counters::refused, "refused" },
    { &entry_counters::uncertain, "uncertain" },
    { &entry_counters::repeated, "repeated" },
    { &entry_counters::retries, "retries" },
    { &entry_counters::hops, "hops" },
    { &entry_counters::moved, "moved" },
    { &entry_counters::takeOvers, "take_overs" },
    { &entry_counters::pauses, "pauses" },
} };

static constexpr std::array<double, 3> ReportedQuantiles { 0.5, 0.9, 0.99 };

std::string metricsText(const entry_shell& shell)
{
    std::ostringstream text;
    for (const auto& row : CounterRows) {
        text << "# TYPE lhub_" << row.name << "_total counter\n";
        text << "lhub_" << row.name << "_total " << shell.state.counters.*row.member << "\n";
    }
    text << "# TYPE lhub_request_latency_ms summary\n";
    for (const auto& [service, stats] : shell.latency) {
        for (const auto quantile : ReportedQuantiles) {
            text << "lhub_request_latency_ms{service=\"" << service << "\",quantile=\"" << quantile << "\"} "
                 << latencyQuantile(stats, quantile) << "\n";
        }
        text << "lhub_request_latency_ms_count{service=\"" << service << "\"} " << acc::count(stats.values) << "\n";
    }
    text << "# TYPE lhub_requests_in_flight gauge\nlhub_requests_in_flight " << shell.state.requests.size() << "\n";
    text << "# TYPE lhub_config_revision gauge\nlhub_config_revision " << shell.state.config.revision << "\n";
    return text.str();
}

static json::object describePool(const pool_state& pool, time_point now)
{
    json::object result;
    result["role"] = nameOf(PoolRoleNames, pool.role);
    result["epoch"] = pool.epoch;
    result["usable"] = usableSlots(pool, now);
    result["inflight"] = pool.localInflight;
    result["lent"] = slotsLent(pool, now);
    result["queue"] = pool.queue.size();
    return result;
}

/** Good and bad events of each service in each window of the burn rates. */
static json::object describeBurn(const entry_state& state, time_point now)
{
    json::object result;
    for (const auto& [name, service] : state.view.services) {
        const auto found = state.burn.find(name);
        const auto series = found == state.burn.end() ? burn_series {} : found->second;
        json::object windows;
        for (const auto& pair : BurnPairs) {
            for (const auto window : { pair.shortWindow, pair.longWindow }) {
                const auto sum = sumEvents(series, window, now);
                windows[std::to_string(window.count())] = { { "good", sum.good }, { "bad", sum.bad } };
            }
        }
        result[name] = { { "objective_permille", service.objectivePermille }, { "latency_ms", service.latencyMs },
            { "windows", std::move(windows) } };
    }
    return result;
}

std::string statusText(const entry_shell& shell)
{
    const auto now = shell.clock.now();
    json::object document;
    document["vm"] = shell.state.vm;
    document["zone"] = shell.state.zone;
    document["region"] = shell.state.region;
    document["revision"] = shell.state.config.revision;
    document["confirmed_ms_ago"] = elapsed(shell.state.confirmedAt, now).count();
    document["leaving"] = shell.state.members.leaving;
    document["in_flight"] = shell.state.requests.size();
    json::object counters;
    for (const auto& row : CounterRows)
        counters[row.name] = shell.state.counters.*row.member;
    document["counters"] = std::move(counters);
    json::object pools;
    for (const auto& [service, pool] : shell.state.pools)
        pools[service] = describePool(pool, now);
    document["pools"] = std::move(pools);
    document["burn"] = describeBurn(shell.state, now);
    json::object latency;
    for (const auto& [service, stats] : shell.latency) {
        latency[service] = { { "count", acc::count(stats.values) }, { "p50_ms", latencyQuantile(stats, 0.5) },
            { "p99_ms", latencyQuantile(stats, 0.99) } };
    }
    document["latency"] = std::move(latency);
    return json::serialize(document);
}

} // namespace lhub
