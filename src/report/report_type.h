/** @file report_type.h Samples of the status of entry VMs. */
#pragma once

#include "core/json_fields.h"
#include "core/time_type.h"
#include <map>

namespace lhub {

/** Status of one entry VM at one time. */
struct vm_sample {
    std::string address; ///< IP:port that was asked.
    bool reached = false; ///< Whether it answered with JSON.
    json::value status; ///< Body of the response; null if not reached.
};

/** Status of all VMs at one time. */
struct fleet_sample {
    time_point sampledAt {}; ///< When the requests were sent.
    std::vector<vm_sample> vms; ///< In the order of the addresses.
};

/** Samples of the same VMs over time; VMs may fail and restart in between. */
struct fleet_series {
    std::vector<fleet_sample> samples; ///< Oldest first.
};

} // namespace lhub
