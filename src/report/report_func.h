/** @file report_func.h Sampling the fleet and reading samples. */
#pragma once

#include "net/http_type.h"
#include "report/report_type.h"

namespace lhub {

/** Asks all VMs at once for their status. */
asio::awaitable<fleet_sample> sampleFleet(const std::vector<std::string>& addresses, const clock_source& clock);

/** A whole number in a VM's status by path, as in "counters.moved"; 0 when absent. */
std::uint64_t statusNumber(const vm_sample& sample, std::string_view path);

/** A real number in a VM's status by path; 0 when absent. */
double statusReal(const vm_sample& sample, std::string_view path);

/**
 * How much a counter of all VMs rose between two samples. A VM that restarted counts from 0; one that was not
 * reached counts nothing.
 */
std::uint64_t fleetRise(const fleet_sample& from, const fleet_sample& to, std::string_view path);

/** The most that a counter rose within any window of the series. */
std::uint64_t highestRise(const fleet_series& series, std::string_view path, milliseconds window);

/** Revision that every reached VM has in force; 0 when none was reached. */
std::uint64_t commonRevision(const fleet_sample& sample);

/** A line for each VM, for the terminal. */
std::string describeFleet(const fleet_sample& sample);

} // namespace lhub
