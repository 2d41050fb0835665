/** @file shift_type.h The state of a shift at the owner of a pool. */
#pragma once

#include "config/config_type.h"
#include "core/time_type.h"
#include <deque>
#include <map>
#include <vector>

namespace lhub {

/** Bounds of shifts; the same on all VMs. */
struct shift_limits {
    milliseconds window { 1000 }; ///< The cap holds over any window of this length.
    milliseconds freshFor { 5000 }; ///< Nothing moves once the store's last confirmation is older.
    milliseconds loanTime { 2000 }; ///< A loan lapses at the lender after this.
    std::uint32_t loanHeldPercent = 90; ///< Part of loanTime after which it lapses at the borrower.
    milliseconds loanEvery { 500 }; ///< Time between two requests for loans to one zone.
    milliseconds settleTime { 6000 }; ///< A changed share is used after this: by then every zone knows it or has stopped.
};

/** Part of a share that another zone may use. */
struct share_loan {
    std::uint32_t perSecond = 0; ///< Moves in any window.
    time_point lapses {}; ///< Void from here on.
};

/** One shift in the zone of its pool's owner. */
struct shift_progress {
    shift_config config; ///< As configured.
    time_point started {}; ///< When it first ran here; the ramp counts from here.
    time_point shareFrom {}; ///< The present share may be used from here on.
    std::uint32_t share = 0; ///< Moves in any window that this zone may make.
    std::uint32_t earlierShare = 0; ///< What may be used before shareFrom.
    std::uint32_t accumulated = 0; ///< Thousandths of a request that are due to move.
    std::uint64_t arrived = 0; ///< Requests seen.
    std::uint64_t moved = 0; ///< Requests moved.
    std::deque<time_point> recent; ///< Moves of the last window.
    std::map<std::string, std::vector<share_loan>> lent; ///< What other zones may use, by zone.
    std::map<std::string, share_loan> borrowed; ///< What this zone may use of others' shares, by zone.
    std::uint64_t held = 0; ///< Requests that were due and met the cap since the last loan was asked for.
    time_point loanAsked {}; ///< When a loan was last asked for.
    double peak = 0; ///< Recent peak of requests due in a window, moved or not; falls slowly.
    shift_limits limits; ///< Bounds.
};

} // namespace lhub
