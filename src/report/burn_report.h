/** @file burn_report.h The report on service-level burn: text, JSON and one HTML page. */
#pragma once

#include "burn/burn_func.h"
#include "report/report_type.h"

namespace lhub {

/** One pair of windows of one service, over all VMs. */
struct burn_row {
    burn_pair pair; ///< Which windows.
    burn_sum longSum; ///< Events of the long window.
    burn_sum shortSum; ///< Events of the short window.
    burn_state state = burn_state::NoData; ///< Verdict.
};

/** One service, over all VMs. */
struct service_report {
    std::string name; ///< The service.
    burn_objective objective; ///< What it should reach.
    std::vector<burn_row> rows; ///< A row a pair of windows.
    double p99Ms = 0; ///< Highest 99th percentile of any VM, in milliseconds.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> headroom; ///< By zone: usable slots, slots in use.
};

/** The whole report. */
struct fleet_report {
    std::vector<service_report> services; ///< By name.
    std::vector<std::string> silent; ///< VMs that did not answer.
    std::vector<std::string> stale; ///< VMs whose configuration was not confirmed for long, with the age.
};

/** Makes the report from one sample of all VMs. Thread safe. */
fleet_report makeReport(const fleet_sample& sample);

/** The report for the terminal; each alarm says what to do next. Thread safe. */
std::string reportText(const fleet_report& report);

/** The report as JSON. Thread safe. */
json::object reportJson(const fleet_report& report);

/** The report as one self-contained HTML page. Thread safe. */
std::string reportHtml(const fleet_report& report);

} // namespace lhub
