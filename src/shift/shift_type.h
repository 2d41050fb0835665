/** @file shift_type.h State of a shift in one zone, at the owner of its service's pool. */
#pragma once

#include "config/config_type.h"
#include "core/time_type.h"
#include <deque>
#include <map>
#include <vector>

namespace lhub {

/** Intervals of shifts; the same on all VMs. */
struct shift_limits {
    milliseconds window { 1000 }; ///< The cap holds in any window of this length.
    milliseconds maxConfirmationAge { 5000 }; ///< Nothing moves once the store's last confirmation is older.
    milliseconds loanLifetime { 2000 }; ///< A loan expires at the lender after this.
    std::uint32_t borrowerLifetimePercent = 90; ///< Percentage of loanLifetime after which it expires at the borrower.
    milliseconds loanRequestInterval { 500 }; ///< Shortest time between two rounds of loan requests.
    milliseconds shareChangeDelay { 6000 }; ///< Delay of a raised share: by then every zone knows it or has stopped.
};

/** Part of a zone's share that another zone may use. */
struct share_loan {
    std::uint32_t perSecond = 0; ///< Moves in any window.
    time_point expiresAt {}; ///< Expires at this time.
};

/** One shift in the zone of this VM. */
struct shift_progress {
    shift_config config; ///< As configured; its name is empty until configureShift().
    time_point rampStart {}; ///< When its status last became running, as seen by this VM.
    time_point shareInForceFrom {}; ///< Until then the lower one of share and previousShare may be used.
    std::uint32_t share = 0; ///< Moves that this zone may make in any window, by the present configuration.
    std::uint32_t previousShare = 0; ///< Share that was in force before the present one; 0 for a new shift or owner.
    std::uint32_t dueThousandths = 0; ///< Thousandths of a request that are due to move; 1000 make one request due.
    std::uint64_t arrived = 0; ///< Requests that the shift applied to, moved or not.
    std::uint64_t moved = 0; ///< Requests moved.
    std::deque<time_point> recentMoves; ///< Times of the moves in the last window.
    std::map<std::string, std::vector<share_loan>> sharesLent; ///< Loans to other zones, by zone.
    std::map<std::string, share_loan> borrowed; ///< Loans from other zones, by zone.
    std::uint64_t heldBack = 0; ///< Due requests that the cap held back since loans were last requested.
    time_point loanRequestedAt {}; ///< When loans were last requested.
    double peakDemand = 0; ///< Recent peak of requests due in one window, moved or not; decays with every tick.
    shift_limits limits; ///< Intervals.
};

} // namespace lhub
