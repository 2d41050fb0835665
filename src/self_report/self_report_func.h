/** @file self_report_func.h What endpoints say about themselves in their responses. */
#pragma once

#include "self_report/self_report_type.h"

namespace lhub {

/**
 * Records a report. A report about another start than the one that is known replaces the state. Drops the states with the oldest reports
 * when there are too many. Not thread safe.
 * @param startUnixMs the start of the endpoint that the request was sent to.
 * @return what the endpoint had not said before.
 */
self_report_change recordSelfReport(self_report_table& table, const std::string& id, std::int64_t startUnixMs, const self_report& report, time_point now);

/** Until when this start of the endpoint wants no requests of this VM; the epoch when it has not said so. Thread safe on a const object. */
time_point pausedUntil(const self_report_table& table, const std::string& id, std::int64_t startUnixMs);

/** Whether this start of the endpoint has reported that it leaves. Thread safe on a const object. */
bool hasReportedLeaving(const self_report_table& table, const std::string& id, std::int64_t startUnixMs);

} // namespace lhub
