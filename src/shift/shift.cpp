/** @file shift.cpp When a shift moves a request: fraction, ramp and rate cap. */
#include "shift/shift_func.h"

#include <algorithm>

namespace lhub {

constexpr std::uint32_t WholePermille = 1000;

std::uint32_t zoneShare(const shift_config& config, const std::string& zone)
{
    const auto named = std::find(config.zones.begin(), config.zones.end(), zone);
    if (named == config.zones.end())
        return 0;
    return config.capPerSecond / static_cast<std::uint32_t>(config.zones.size());
}

std::uint32_t shareInForce(const shift_progress& shift, time_point now)
{
    return now >= shift.shareInForceFrom ? shift.share : std::min(shift.share, shift.previousShare);
}

void configureShift(shift_progress& shift, const shift_config& config, const std::string& zone, time_point now)
{
    const bool isNew = shift.config.name.empty();
    const auto share = zoneShare(config, zone);
    if (isNew || share != shift.share) {
        shift.previousShare = isNew ? 0 : shareInForce(shift, now);
        shift.shareInForceFrom = now + shift.limits.shareChangeDelay;
        shift.borrowed.clear();
    }
    if (isNew || (shift.config.status != shift_status::Running && config.status == shift_status::Running))
        shift.rampStart = now;
    shift.share = share;
    shift.config = config;
}

void resetShift(shift_progress& shift, time_point now)
{
    shift.previousShare = 0;
    shift.shareInForceFrom = now + shift.limits.shareChangeDelay;
    shift.dueThousandths = 0;
    shift.recentMoves.clear();
    shift.borrowed.clear();
    shift.sharesLent.clear();
}

/** Fraction of the requests to move at @p now, in thousandths; rises from 0 during the ramp. */
static std::uint32_t currentPermille(const shift_progress& shift, time_point now)
{
    const milliseconds ramp = seconds(shift.config.rampSeconds);
    const auto running = elapsed(shift.rampStart, now);
    if (running >= ramp)
        return shift.config.permille;
    return static_cast<std::uint32_t>(shift.config.permille * running.count() / ramp.count());
}

void recordArrival(shift_progress& shift, time_point now)
{
    ++shift.arrived;
    if (shift.config.status != shift_status::Running)
        return;
    // At most one request is due at a time: what the cap holds back is not made up for later.
    const auto due = shift.dueThousandths + currentPermille(shift, now);
    shift.dueThousandths = std::min(due, 2 * WholePermille - 1);
}

bool isMoveDue(shift_progress& shift, milliseconds age, time_point now)
{
    while (!shift.recentMoves.empty() && now - shift.recentMoves.front() >= shift.limits.window)
        shift.recentMoves.pop_front();
    if (shift.config.status != shift_status::Running || shift.dueThousandths < WholePermille)
        return false;
    if (age >= shift.limits.maxConfirmationAge)
        return false;
    const bool withinCap = shift.recentMoves.size() < usableShare(shift, now);
    shift.peakDemand = std::max(shift.peakDemand, static_cast<double>(shift.recentMoves.size() + 1));
    shift.heldBack += withinCap ? 0 : 1;
    return withinCap;
}

void recordMove(shift_progress& shift, time_point now)
{
    shift.dueThousandths -= WholePermille;
    ++shift.moved;
    shift.recentMoves.push_back(now);
}

} // namespace lhub
