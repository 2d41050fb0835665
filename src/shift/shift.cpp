/** @file shift.cpp Fractions, caps and ramps of shifts. */
#include "shift/shift_func.h"

#include <algorithm>

namespace lhub {

constexpr std::uint32_t WholePermille = 1000;

std::uint32_t shareOf(const shift_config& config, const std::string& zone)
{
    const auto named = std::find(config.zones.begin(), config.zones.end(), zone);
    if (named == config.zones.end())
        return 0;
    return config.capPerSecond / static_cast<std::uint32_t>(config.zones.size());
}

std::uint32_t ownShare(const shift_progress& shift, time_point now)
{
    return now >= shift.shareFrom ? shift.share : std::min(shift.share, shift.earlierShare);
}

void configureShift(shift_progress& shift, const shift_config& config, const std::string& zone, time_point now)
{
    const bool isNew = shift.config.name.empty();
    const auto share = shareOf(config, zone);
    if (isNew || share != shift.share) {
        shift.earlierShare = isNew ? 0 : ownShare(shift, now);
        shift.shareFrom = now + shift.limits.settleTime;
        shift.borrowed.clear();
    }
    if (isNew || (shift.config.status != shift_status::Running && config.status == shift_status::Running))
        shift.started = now;
    shift.share = share;
    shift.config = config;
}

void restartShift(shift_progress& shift, time_point now)
{
    shift.earlierShare = 0;
    shift.shareFrom = now + shift.limits.settleTime;
    shift.accumulated = 0;
    shift.recent.clear();
    shift.borrowed.clear();
    shift.lent.clear();
}

/** Fraction that is due at @p now, in thousandths: it rises with the ramp. */
static std::uint32_t presentPermille(const shift_progress& shift, time_point now)
{
    const milliseconds ramp = seconds(shift.config.rampSeconds);
    const auto since = elapsed(shift.started, now);
    if (since >= ramp)
        return shift.config.permille;
    return static_cast<std::uint32_t>(shift.config.permille * since.count() / ramp.count());
}

void countArrival(shift_progress& shift, time_point now)
{
    ++shift.arrived;
    if (shift.config.status != shift_status::Running)
        return;
    const auto due = shift.accumulated + presentPermille(shift, now);
    shift.accumulated = std::min(due, 2 * WholePermille - 1);
}

bool mayMove(shift_progress& shift, milliseconds age, time_point now)
{
    while (!shift.recent.empty() && now - shift.recent.front() >= shift.limits.window)
        shift.recent.pop_front();
    if (shift.config.status != shift_status::Running || shift.accumulated < WholePermille)
        return false;
    if (age >= shift.limits.freshFor)
        return false;
    const bool allowed = shift.recent.size() < usableShare(shift, now);
    shift.peak = std::max(shift.peak, static_cast<double>(shift.recent.size() + 1));
    shift.held += allowed ? 0 : 1;
    return allowed;
}

void countMove(shift_progress& shift, time_point now)
{
    shift.accumulated -= WholePermille;
    ++shift.moved;
    shift.recent.push_back(now);
}

} // namespace lhub
