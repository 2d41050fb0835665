/** @file report_type.h Samples of the entry VMs' status, and what a report says of them. */
#pragma once

#include "core/json_fields.h"
#include "core/time_type.h"
#include <map>

namespace lhub {

/** What one entry VM said at one time. */
struct vm_sample {
    std::string address; ///< Which VM was asked.
    bool reached = false; ///< Whether it answered.
    json::value status; ///< Its answer.
};

/** All VMs at one time. */
struct fleet_sample {
    time_point at {}; ///< When they were asked.
    std::vector<vm_sample> vms; ///< In the order of the addresses.
};

/** Counters summed over time although VMs come and go. */
struct fleet_series {
    std::vector<fleet_sample> samples; ///< Oldest first.
};

} // namespace lhub
