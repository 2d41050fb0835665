/** @file gate_settings.h Settings of lhub-gate. */
#pragma once

#include "core/time_type.h"
#include "pace/pace_type.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lhub {

/** Bounds that this deployment guarantees to its users; the platform sets them. */
struct gate_bounds {
    milliseconds drain { 2500 }; ///< Time after which a draining endpoint gets no requests.
    seconds stopGrace { 6 }; ///< Time from SIGTERM to SIGKILL.
    double retryRatio = 0.2; ///< Maximum number of retries per request, on average over all VMs.
    seconds retryWindow { 10 }; ///< Time over which the retry ratio is counted.
    double retrySlack = 10; ///< Retries allowed in each window in addition to the ratio.
    double coldOverage = 1.5; ///< Factor on the request rate that a cold endpoint tolerates.
    double coldSlack = 5; ///< Requests per second allowed at a cold endpoint in addition.
    milliseconds quotaWindow { 5000 }; ///< Window over which the quotas of customers are counted.
    double quotaOverage = 0.1; ///< Part of a quota by which requests may exceed it. Not used: the target of all VMs together is the quota.
    double quotaSlack = 20; ///< Requests in a window that are tolerated in addition. Used only for rounding up quotas smaller than one token.
    seconds maxLookupLifetime { 5 }; ///< Maximum time for which callers cache the response to a look-up.
    milliseconds stabilityTime { 4000 }; ///< Time without a disturbance after which the guarantees hold again.
};

/** Settings of one entry VM. */
struct gate_settings {
    std::string vm; ///< Name of this VM.
    std::string ip; ///< Numeric IP of this VM.
    std::string zone; ///< Availability zone of this VM.
    std::string region; ///< Region of this VM.
    std::map<std::string, std::string> regionOfZone; ///< Region of every zone.
    std::string callerAddress; ///< IP:port that serves callers.
    std::string readinessAddress; ///< IP:port that serves readiness checks.
    std::string lookupAddress; ///< IP:port that serves look-ups.
    std::string peerAddress; ///< IP:port that serves other entry VMs: updates of the store objects and the member list.
    std::vector<std::string> seeds; ///< The peers addresses of some other VMs, from which this VM fetches the state at its start; may be out of date.
    bool firstStart = false; ///< The whole system starts for the first time.
    std::uint16_t gossipPort = 0; ///< UDP port of gossip, the same on all VMs.
    std::string storeAddress; ///< IP:port of the platform's object store.
    std::uint32_t maxDescriptors = 1024; ///< Maximum number of open file descriptors.
    std::uint32_t memoryMb = 256; ///< Maximum memory of the process, in MB.
    double cores = 1; ///< Processor time that the process may use, in cores.
    double linkMbps = 1000; ///< Bandwidth of the VM's link in each direction, in Mbit/s.
    gate_bounds bounds; ///< Guaranteed bounds.
    pace_mode recoveryPace = pace_mode::Auto; ///< Where endpoints that have started or recovered are paced.
};

} // namespace lhub
