/** @file store_follow_type.h Which entry VMs of a region watch the store, and which of them the other VMs follow. */
#pragma once

#include "core/time_type.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lhub {

/** Settings of following. */
struct follow_settings {
    std::size_t watchers = 3; ///< VMs of a region that watch the store; two of them may fail at the same time.
    std::size_t sources = 2; ///< Watchers that each follower follows at the same time.
};

/** Times of a call that watches the store. */
struct watch_times {
    milliseconds wait { 0 }; ///< Longest wait of the store for a change.
    milliseconds answer { 0 }; ///< Time for the answer in addition to the wait.
};

/** How a VM receives changes of the store. */
struct follow_plan {
    bool watchesStore = true; ///< It watches the store itself.
    bool storeOutage = false; ///< As far as is known, no VM of the region can reach the store; a few go on trying for all.
    std::vector<std::string> sources; ///< IPs of the watchers that it follows; empty if it watches the store itself.
};

/** The oldest change that other VMs have and this one is still missing, as far as it has noticed. Kept between calls of isLagging(). */
struct follow_lag {
    time_point since {}; ///< When other VMs were first seen to have the change.
    std::uint64_t revision = 0; ///< Store revision of the change; 0 when none is missing.
};

} // namespace lhub
