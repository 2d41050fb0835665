/** @file self_report_func.h What endpoints say about themselves in their responses. */
#pragma once

#include "self_report/self_report_type.h"
#include <string_view>

namespace lhub {

/**
 * Records a report. One about a newer start than is known replaces the state; one about an older start is ignored. Drops the states with
 * the oldest reports when there are too many. Not thread safe.
 * @param startUnixMs the start of the endpoint that the request was sent to.
 * @return what the endpoint had not said before.
 */
self_report_change recordSelfReport(self_report_table& table, const std::string& id, std::int64_t startUnixMs, const self_report& report, time_point now);

/** Applies an update from another VM, unless a newer report or a newer start of the endpoint is known. Not thread safe. @return what was not known before. */
self_report_change applyReportUpdate(self_report_table& table, const report_update& update, time_point now);

/** The updates to send in this round of gossip: a bounded number of those that have been sent least often. Not thread safe: counts the round. */
std::vector<report_update> nextReportUpdates(self_report_table& table, time_point now);

/** Encodes a message for other VMs; differs in its first character from the messages of gossip_func.h. Thread safe. */
std::string encodeReportUpdates(const std::vector<report_update>& updates);
/** Decodes a message; no updates if any part of it is malformed. Thread safe. */
std::vector<report_update> decodeReportUpdates(std::string_view message);

/*
 * The functions below take the start that is registered here. After a restart under the same id, the endpoint at the registered address may
 * be newer than that: reports of a newer start hold, too.
 */

/** Until when the endpoint wants no requests of this VM; the epoch when it has not said so. Thread safe on a const object. */
time_point pausedUntil(const self_report_table& table, const std::string& id, std::int64_t startUnixMs);

/** Time over which the requests of a limit are counted; a longer one allows a VM with little traffic to send its few requests together. */
inline constexpr milliseconds LimitWindow { 4000 };

/** Requests that all VMs together may send to an endpoint within LimitWindow; at least 1, so that reports go on to arrive. Thread safe. */
std::uint32_t requestsPerLimitWindow(double requestsPerSecond);

/** The state of the endpoint if it has a limit in force; null otherwise. Valid until the table changes. Not thread safe. */
self_report_state* limitedState(self_report_table& table, const std::string& id, std::int64_t startUnixMs);

/**
 * Whether this VM may send one more request without exceeding its quota. A VM whose newest report is old may send a single
 * request, to learn whether the limit is still in force. Precondition: a limit is in force. Not thread safe.
 * @param quota this VM's part of requestsPerLimitWindow().
 * @param vms number of VMs that may send to the endpoint.
 */
bool maySendWithinLimit(self_report_state& state, std::uint32_t quota, std::size_t vms, time_point now);

/** Counts a request that is sent to an endpoint with a limit. Not thread safe. */
void recordDispatch(self_report_state& state, time_point now);

/** Whether the endpoint has reported that it leaves. Thread safe on a const object. */
bool hasReportedLeaving(const self_report_table& table, const std::string& id, std::int64_t startUnixMs);

} // namespace lhub
