/** @file follow_type.h Which VMs watch the store, and whom the others follow. */
#pragma once

#include "core/time_type.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lhub {

/** Settings of following. */
struct follow_limits {
    std::size_t watchers = 3; ///< VMs of a region that watch the store; two may be lost at the same moment.
    std::size_t sources = 2; ///< Watchers that each of the others follows at the same time.
};

/** What a VM does to keep up with the store. */
struct follow_plan {
    bool watches = true; ///< It watches the store itself.
    bool outage = false; ///< The store answers nobody of the region, as far as is known: a few go on asking, for all.
    std::vector<std::string> sources; ///< IPs of the watchers that it follows otherwise.
};

/** A change that other VMs know and this one does not. */
struct follow_lag {
    time_point since {}; ///< When others were first seen to know it.
    std::uint64_t revision = 0; ///< The change; 0 when nothing is missing.
};

} // namespace lhub
