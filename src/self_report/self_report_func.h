/** @file self_report_func.h What endpoints say about themselves in their responses. */
#pragma once

#include "self_report/self_report_type.h"

namespace lhub {

/**
 * Records a report. A report about another start than the one that is known replaces the state. Drops the states with the oldest reports
 * when there are too many. Not thread safe.
 * @param startUnixMs the start of the endpoint that the request was sent to.
 * @return whether the endpoint is newly known to leave.
 */
bool recordSelfReport(self_report_table& table, const std::string& id, std::int64_t startUnixMs, const self_report& report, time_point now);

/** Whether this start of the endpoint has reported that it leaves. Thread safe on a const object. */
bool hasReportedLeaving(const self_report_table& table, const std::string& id, std::int64_t startUnixMs);

} // namespace lhub
