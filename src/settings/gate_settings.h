/** @file gate_settings.h Settings of lhub-gate. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lhub {

/** Promises that the deployment was made with. */
struct gate_bounds {
    milliseconds drain { 2500 }; ///< After it, an endpoint that leaves gets nothing.
    seconds stopGrace { 6 }; ///< From SIGTERM to SIGKILL.
    double retryRatio = 0.2; ///< Retries for each request, over all VMs.
    seconds retryWindow { 10 }; ///< Window of the retry ratio.
    double retrySlack = 10; ///< Retries on top, in each window.
    double coldOverage = 1.5; ///< Factor on what a cold endpoint tolerates.
    double coldSlack = 5; ///< Requests on top, in each second.
    seconds lookupLife { 5 }; ///< Longest life of a look-up's answer that callers honour.
    milliseconds stability { 4000 }; ///< Calm after which the promises hold again.
};

/** Settings of one entry VM. */
struct gate_settings {
    std::string vm; ///< Identity.
    std::string ip; ///< Own IP.
    std::string zone; ///< Own availability zone.
    std::string region; ///< Own region.
    std::map<std::string, std::string> regionOfZone; ///< All zones.
    std::string callers; ///< IP:port for callers.
    std::string ready; ///< IP:port for readiness checks.
    std::string lookups; ///< IP:port for look-ups.
    std::string peers; ///< IP:port where other entry VMs fetch the state.
    std::vector<std::string> seeds; ///< IP:port of some other VMs' peers address; may be stale.
    bool firstStart = false; ///< The whole system starts for the first time.
    std::uint16_t gossipPort = 0; ///< UDP port of membership, the same on all VMs.
    std::string store; ///< IP:port of the platform's store.
    std::uint32_t maxDescriptors = 1024; ///< Bound on open descriptors.
    std::uint32_t memoryMb = 256; ///< Bound on memory, in megabytes.
    double cores = 1; ///< Processor, in cores.
    double linkMbps = 1000; ///< Link each way, in Mbit/s.
    gate_bounds bounds; ///< Promises.
};

} // namespace lhub
