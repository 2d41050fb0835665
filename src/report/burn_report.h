/** @file burn_report.h The report on burn rates and headroom: text, JSON and one HTML page. */
#pragma once

#include "burn_rate/burn_rate_func.h"
#include "report/report_type.h"

namespace lhub {

/** Events of one service in one pair of windows, over all VMs. */
struct burn_row {
    burn_window_pair pair;
    event_counts longCounts;
    event_counts shortCounts;
    burn_state state = burn_state::NoData;
};

/** One service, over all VMs. */
struct service_report {
    std::string name; ///< Name of the service.
    burn_objective objective; ///< Objective as the VMs report it.
    std::vector<burn_row> rows; ///< One row for each pair of windows, in the order of BurnPairs.
    double p99Ms = 0; ///< Highest 99th percentile of any VM, in milliseconds.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> headroom; ///< By zone: usable slots, slots in use.
};

/** The whole report. */
struct fleet_report {
    std::vector<service_report> services; ///< By name.
    std::vector<std::string> unreachableVms; ///< Addresses of the VMs that did not answer.
    std::vector<std::string> staleVms; ///< Addresses of the VMs whose configuration was not confirmed for 5 s, with its age.
};

/** Makes the report from one sample of all VMs. Thread safe. */
fleet_report makeReport(const fleet_sample& sample);

/** The report as text; each alarm names the page of the operators' manual. Thread safe. */
std::string reportText(const fleet_report& report);

/** The report as JSON. Thread safe. */
json::object reportJson(const fleet_report& report);

/** The report as one self-contained HTML page. Thread safe. */
std::string reportHtml(const fleet_report& report);

} // namespace lhub
