/** @file report_func.h Reads the status of all entry VMs and evaluates it. */
#pragma once

#include "net/http_type.h"
#include "report/report_type.h"

namespace lhub {

/** Requests the status of all VMs concurrently. @p addresses are IP:port. A VM that fails is not reached; no error is thrown. */
asio::awaitable<fleet_sample> sampleFleet(const std::vector<std::string>& addresses, const clock_source& clock);

/** Whole number in a VM's status at a path such as "counters.moved"; 0 if absent. */
std::uint64_t statusNumber(const vm_sample& sample, std::string_view path);

/** Real number in a VM's status at a path; 0 if absent. */
double statusReal(const vm_sample& sample, std::string_view path);

/**
 * Increase of a counter between two samples, summed over all VMs. A VM whose counter fell has restarted and counts from
 * 0. A VM that the second sample did not reach adds nothing; one that the first did not reach counts from 0.
 */
std::uint64_t counterIncrease(const fleet_sample& from, const fleet_sample& to, std::string_view path);

/** Highest increase of a counter over all VMs within any @p window of the series. */
std::uint64_t maxCounterIncrease(const fleet_series& series, std::string_view path, milliseconds window);

/** Lowest configuration revision in force on the reached VMs; 0 if none was reached. */
std::uint64_t commonRevision(const fleet_sample& sample);

/** Table with a line for each VM, for the terminal. */
std::string formatFleetStatus(const fleet_sample& sample);

} // namespace lhub
