/** @file shift_loan.cpp Shares of a shift's cap that zones lend each other, so that little of the cap stays unused. */
#include "shift/shift_func.h"

#include <algorithm>
#include <cmath>

namespace lhub {

constexpr std::uint32_t WholePercent = 100;

/**
 * Sum of what is lent to all zones but @p except. A loan counts for one window after it expires, because the
 * borrower's last moves are still in the window then. Of several loans to one zone the highest counts.
 */
static std::uint32_t lentShare(const shift_progress& shift, const std::string& except, time_point now)
{
    std::uint32_t total = 0;
    for (const auto& [zone, loans] : shift.sharesLent) {
        std::uint32_t highest = 0;
        for (const auto& loan : loans) {
            if (now < loan.expiresAt + shift.limits.window)
                highest = std::max(highest, loan.perSecond);
        }
        total += zone == except ? 0 : highest;
    }
    return total;
}

std::uint32_t usableShare(const shift_progress& shift, time_point now)
{
    const auto inForce = shareInForce(shift, now);
    const auto lent = lentShare(shift, {}, now);
    std::uint32_t borrowed = 0;
    for (const auto& [zone, loan] : shift.borrowed)
        borrowed += now < loan.expiresAt ? loan.perSecond : 0;
    return (inForce > lent ? inForce - lent : 0) + borrowed;
}

std::uint32_t lendShare(
    shift_progress& shift, const std::string& zone, std::uint32_t wanted, std::uint32_t cap, time_point now)
{
    const bool inForce = now >= shift.shareInForceFrom && shift.config.status == shift_status::Running;
    if (!inForce || cap != shift.config.capPerSecond)
        return 0;
    auto& loans = shift.sharesLent[zone];
    std::erase_if(loans, [&](const share_loan& loan) { return now >= loan.expiresAt + shift.limits.window; });
    const auto needed = static_cast<std::uint32_t>(std::ceil(shift.peakDemand)) + lentShare(shift, zone, now);
    const auto spare = shift.share > needed ? shift.share - needed : 0;
    const auto granted = std::min(wanted, spare);
    if (granted > 0)
        loans.push_back({ granted, now + shift.limits.loanLifetime });
    return granted;
}

void recordLoan(shift_progress& shift, const std::string& zone, const share_loan& loan, std::uint32_t cap,
    time_point sentAt)
{
    if (cap != shift.config.capPerSecond)
        return;
    const auto expiresAt = sentAt + shift.limits.loanLifetime * shift.limits.borrowerLifetimePercent / WholePercent;
    auto& borrowed = shift.borrowed[zone];
    if (expiresAt >= borrowed.expiresAt)
        borrowed = { loan.perSecond, std::min(expiresAt, loan.expiresAt) };
}

std::optional<std::uint32_t> nextLoanRequest(shift_progress& shift, time_point now)
{
    constexpr double PeakDecay = 0.98; // per call; the entry VM calls this once a tick
    shift.peakDemand = std::max(static_cast<double>(shift.recentMoves.size()), shift.peakDemand * PeakDecay);
    if (shift.heldBack == 0 || now < shift.loanRequestedAt + shift.limits.loanRequestInterval)
        return std::nullopt;
    shift.loanRequestedAt = now;
    shift.heldBack = 0;
    return shift.config.capPerSecond;
}

} // namespace lhub
