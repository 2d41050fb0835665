/** @file shift_loan.cpp Shares of a shift's cap that zones lend each other, so that little of the cap stays unused. */
#include "shift/shift_func.h"

#include <algorithm>
#include <cmath>

namespace lhub {

constexpr std::uint32_t WholePercent = 100;

/**
 * What is lent in all. A loan counts for one window longer than it lives: the borrower's last moves are still in the
 * window then. Of several loans to one zone the highest counts.
 */
static std::uint32_t lentInAll(const shift_progress& shift, const std::string& except, time_point now)
{
    std::uint32_t total = 0;
    for (const auto& [zone, loans] : shift.lent) {
        std::uint32_t highest = 0;
        for (const auto& loan : loans) {
            if (now < loan.lapses + shift.limits.window)
                highest = std::max(highest, loan.perSecond);
        }
        total += zone == except ? 0 : highest;
    }
    return total;
}

std::uint32_t usableShare(const shift_progress& shift, time_point now)
{
    const auto own = ownShare(shift, now);
    const auto lent = lentInAll(shift, {}, now);
    std::uint32_t borrowed = 0;
    for (const auto& [zone, loan] : shift.borrowed)
        borrowed += now < loan.lapses ? loan.perSecond : 0;
    return (own > lent ? own - lent : 0) + borrowed;
}

std::uint32_t lendShare(
    shift_progress& shift, const std::string& zone, std::uint32_t wanted, std::uint32_t cap, time_point now)
{
    const bool settled = now >= shift.shareFrom && shift.config.status == shift_status::Running;
    if (!settled || cap != shift.config.capPerSecond)
        return 0;
    auto& loans = shift.lent[zone];
    std::erase_if(loans, [&](const share_loan& loan) { return now >= loan.lapses + shift.limits.window; });
    const auto needed = static_cast<std::uint32_t>(std::ceil(shift.peak)) + lentInAll(shift, zone, now);
    const auto spare = shift.share > needed ? shift.share - needed : 0;
    const auto granted = std::min(wanted, spare);
    if (granted > 0)
        loans.push_back({ granted, now + shift.limits.loanTime });
    return granted;
}

void borrowShare(shift_progress& shift, const std::string& zone, const share_loan& loan, std::uint32_t cap,
    time_point sentAt)
{
    if (cap != shift.config.capPerSecond)
        return;
    const auto lapses = sentAt + shift.limits.loanTime * shift.limits.loanHeldPercent / WholePercent;
    auto& held = shift.borrowed[zone];
    if (lapses >= held.lapses)
        held = { loan.perSecond, std::min(lapses, loan.lapses) };
}

std::optional<std::uint32_t> wantedLoan(shift_progress& shift, time_point now)
{
    constexpr double PeakDecay = 0.98; // per call, one a tick
    shift.peak = std::max(static_cast<double>(shift.recent.size()), shift.peak * PeakDecay);
    if (shift.held == 0 || now < shift.loanAsked + shift.limits.loanEvery)
        return std::nullopt;
    shift.loanAsked = now;
    shift.held = 0;
    return shift.config.capPerSecond;
}

} // namespace lhub
