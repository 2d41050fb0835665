/** @file burn_report.cpp The report on burn rates and headroom as text, JSON and HTML. */
#include "report/burn_report.h"

#include "report/report_func.h"
#include <algorithm>
#include <cstdio>
#include <set>

namespace lhub {

/** Age from which on the configuration of a VM is reported as stale. */
constexpr std::uint64_t StaleAfterMs = 5000;

/** Formats as printf does; the result is cut at MaxLineBytes. */
template <typename... Values>
static std::string format(const char* pattern, Values... values)
{
    constexpr std::size_t MaxLineBytes = 400;
    std::array<char, MaxLineBytes> line {};
    // NOLINTNEXTLINE(clang-diagnostic-format-security): patterns are literals of this file
    const auto size = std::snprintf(line.data(), line.size(), pattern, values...);
    return { line.data(), std::min<std::size_t>(line.size() - 1, static_cast<std::size_t>(std::max(0, size))) };
}

/** Events of one window of a service, summed over all VMs. */
static event_counts sumWindow(const fleet_sample& sample, const std::string& service, std::chrono::minutes window)
{
    const auto path = "burn." + service + ".windows." + std::to_string(window.count());
    event_counts sum;
    for (const auto& vm : sample.vms) {
        sum.good += statusNumber(vm, path + ".good");
        sum.bad += statusNumber(vm, path + ".bad");
    }
    return sum;
}

/** Adds the slots of the VM's zone, if the VM owns the service's pool there. */
static void addHeadroom(const vm_sample& vm, service_report& service)
{
    const auto* pools = vm.status.as_object().if_contains("pools");
    const auto* pool = pools && pools->is_object() ? pools->get_object().if_contains(service.name) : nullptr;
    if (!pool || pool->at("role").as_string() != "owner")
        return;
    const std::string zone(vm.status.as_object().at("zone").as_string());
    const auto prefix = "pools." + service.name;
    service.headroom[zone] = { statusNumber(vm, prefix + ".usable"),
        statusNumber(vm, prefix + ".inflight") + statusNumber(vm, prefix + ".lent") };
}

static service_report reportService(const fleet_sample& sample, const std::string& name)
{
    service_report service;
    service.name = name;
    for (const auto& vm : sample.vms) {
        if (!vm.reached)
            continue;
        service.objective.permille = static_cast<std::uint32_t>(
            std::max<std::uint64_t>(1, statusNumber(vm, "burn." + name + ".objective_permille")));
        service.objective.latencyMs = static_cast<std::uint32_t>(statusNumber(vm, "burn." + name + ".latency_ms"));
        service.p99Ms = std::max(service.p99Ms, statusReal(vm, "latency." + name + ".p99_ms"));
        addHeadroom(vm, service);
    }
    for (const auto& pair : BurnPairs) {
        burn_row row { pair, sumWindow(sample, name, pair.longWindow), sumWindow(sample, name, pair.shortWindow),
            burn_state::NoData };
        row.state = evaluateBurn(row.longCounts, row.shortCounts, pair, service.objective);
        service.rows.push_back(row);
    }
    return service;
}

fleet_report makeReport(const fleet_sample& sample)
{
    fleet_report report;
    std::set<std::string> names;
    for (const auto& vm : sample.vms) {
        if (!vm.reached) {
            report.unreachableVms.push_back(vm.address);
            continue;
        }
        const auto age = statusNumber(vm, "confirmed_ms_ago");
        if (age > StaleAfterMs)
            report.staleVms.push_back(vm.address + ", " + std::to_string(age) + " ms");
        const auto* services = vm.status.as_object().if_contains("burn");
        for (const auto& item : services && services->is_object() ? services->get_object() : json::object {})
            names.emplace(item.key());
    }
    for (const auto& name : names)
        report.services.push_back(reportService(sample, name));
    return report;
}

/** Text on one pair of windows: a line, and a second one on an alarm. */
static std::string formatRow(const service_report& service, const burn_row& row)
{
    const auto rate = burnRate(row.longCounts, service.objective);
    const auto total = row.longCounts.good + row.longCounts.bad;
    auto text = format("  %4d min / %2d min: %s", static_cast<int>(row.pair.longWindow.count()),
        static_cast<int>(row.pair.shortWindow.count()), std::string(nameOf(BurnStateNames, row.state)).c_str());
    if (row.state == burn_state::NoData)
        return text + "\n";
    text += format(", burn rate %.2f and %.2f (alarm from %.1f), %llu bad of %llu", rate,
        burnRate(row.shortCounts, service.objective), row.pair.threshold,
        static_cast<unsigned long long>(row.longCounts.bad),
        static_cast<unsigned long long>(total));
    const auto hours = hoursToExhaustion(rate);
    if (hours >= 0)
        text += format(", the budget of 30 days lasts %.0f h at this rate", hours);
    if (row.state == burn_state::Burning)
        text += format("\n    -> %s: see docs/operators/burn.md", row.pair.action);
    return text + "\n";
}

std::string reportText(const fleet_report& report)
{
    std::string text;
    for (const auto& service : report.services) {
        text += format("%s: objective %.1f%% whole within %u ms, highest p99 %.1f ms\n", service.name.c_str(),
            service.objective.permille / 10.0, service.objective.latencyMs, service.p99Ms);
        for (const auto& row : service.rows)
            text += formatRow(service, row);
        for (const auto& [zone, slots] : service.headroom) {
            const auto free = slots.first - std::min(slots.first, slots.second);
            text += format("  headroom %s: %llu of %llu slots free\n", zone.c_str(),
                static_cast<unsigned long long>(free),
                static_cast<unsigned long long>(slots.first));
        }
    }
    for (const auto& vm : report.unreachableVms)
        text += "no answer: " + vm + "\n    -> see docs/operators/vm-dead.md\n";
    for (const auto& vm : report.staleVms)
        text += "stale configuration: " + vm + "\n    -> see docs/operators/store-down.md\n";
    return text;
}

json::object reportJson(const fleet_report& report)
{
    json::array services;
    for (const auto& service : report.services) {
        json::array rows;
        for (const auto& row : service.rows) {
            rows.push_back({ { "long_min", row.pair.longWindow.count() }, { "short_min", row.pair.shortWindow.count() },
                { "state", nameOf(BurnStateNames, row.state) }, { "good", row.longCounts.good }, { "bad", row.longCounts.bad },
                { "rate", burnRate(row.longCounts, service.objective) }, { "threshold", row.pair.threshold } });
        }
        json::object headroom;
        for (const auto& [zone, slots] : service.headroom)
            headroom[zone] = { { "usable", slots.first }, { "in_use", slots.second } };
        services.push_back({ { "service", service.name }, { "objective_permille", service.objective.permille },
            { "latency_ms", service.objective.latencyMs }, { "p99_ms", service.p99Ms }, { "burn", std::move(rows) },
            { "headroom", std::move(headroom) } });
    }
    return { { "services", std::move(services) }, { "silent", json::value_from(report.unreachableVms) },
        { "stale", json::value_from(report.staleVms) } };
}

/** Horizontal bar as inline SVG. @p fraction of its width is filled; a line is drawn at the fraction @p mark if above 0. */
static std::string barSvg(double fraction, double mark, const char* colour)
{
    constexpr double Width = 320;
    const double filled = std::clamp(fraction, 0.0, 1.0) * Width;
    auto svg = format("<svg width=\"%.0f\" height=\"16\" role=\"img\"><rect width=\"%.0f\" height=\"16\" fill=\"#e6e6e6\"/>"
                      "<rect width=\"%.1f\" height=\"16\" fill=\"%s\"/>",
        Width, Width, filled, colour);
    if (mark > 0)
        svg += format("<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"16\" stroke=\"#222\"/>", mark * Width, mark * Width);
    return svg + "</svg>";
}

/** HTML of one service: burn rates by pair of windows, slots in use by zone. */
static std::string serviceHtml(const service_report& service)
{
    constexpr double ScaleOverThreshold = 1.5; // The full width of a bar is 1.5 times the alarm threshold.
    auto text = format("<h2>%s</h2><p>Objective: %.1f%% answered whole within %u ms. Highest p99 of a VM: %.1f ms.</p>"
                       "<table><tr><th>Windows</th><th>State</th><th>Burn rate (line: alarm)</th><th></th></tr>",
        service.name.c_str(), service.objective.permille / 10.0, service.objective.latencyMs, service.p99Ms);
    for (const auto& row : service.rows) {
        const auto rate = burnRate(row.longCounts, service.objective);
        const bool burning = row.state == burn_state::Burning;
        text += format("<tr><td>%d and %d min</td><td>%s</td><td>", static_cast<int>(row.pair.longWindow.count()),
            static_cast<int>(row.pair.shortWindow.count()), std::string(nameOf(BurnStateNames, row.state)).c_str());
        text += barSvg(rate / (row.pair.threshold * ScaleOverThreshold), 1 / ScaleOverThreshold,
            burning ? "#c0392b" : "#2e7d5b");
        text += format("</td><td>%.2f%s</td></tr>", rate, burning ? ", see docs/operators/burn.md" : "");
    }
    text += "</table><table><tr><th>Zone</th><th>Slots in use</th><th></th></tr>";
    for (const auto& [zone, slots] : service.headroom) {
        const double fraction = slots.first == 0 ? 1 : static_cast<double>(slots.second) / static_cast<double>(slots.first);
        text += "<tr><td>" + zone + "</td><td>" + barSvg(fraction, 0, "#34699a")
            + format("</td><td>%llu of %llu</td></tr>", static_cast<unsigned long long>(slots.second),
                static_cast<unsigned long long>(slots.first));
    }
    return text + "</table>";
}

std::string reportHtml(const fleet_report& report)
{
    std::string text = "<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>"
                       "<style>body{font:15px sans-serif;margin:2em;max-width:60em}td,th{padding:.2em .8em .2em 0;"
                       "text-align:left}h2{margin-bottom:.2em}</style><h1>Service-level burn</h1>";
    for (const auto& service : report.services)
        text += serviceHtml(service);
    if (report.services.empty())
        text += "<p>No data: no entry VM answered.</p>";
    for (const auto& vm : report.unreachableVms)
        text += "<p>No answer: " + vm + ". See docs/operators/vm-dead.md.</p>";
    for (const auto& vm : report.staleVms)
        text += "<p>Stale configuration: " + vm + ". See docs/operators/store-down.md.</p>";
    return text + "</html>\n";
}

} // namespace lhub
