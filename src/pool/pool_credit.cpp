/** @file pool_credit.cpp Credits: what one zone may have in flight at the endpoints of another. */
#include "pool/pool_func.h"

#include <algorithm>
#include <cmath>

namespace lhub {

constexpr std::uint32_t WholePercent = 100;

std::uint32_t lentTo(const credit_lent& lent, time_point now)
{
    std::uint32_t highest = 0;
    for (const auto& grant : lent.grants) {
        if (now < grant.lapses)
            highest = std::max(highest, grant.amount);
    }
    return highest;
}

/** Slots that may be lent in all: usable ones less the reserve and what local requests needed of late. */
static std::uint32_t lendableSlots(const pool_state& pool, time_point now)
{
    const auto usable = usableSlots(pool, now);
    const auto reserve = (usable * pool.limits.reservePercent + WholePercent - 1) / WholePercent;
    const auto kept = reserve + static_cast<std::uint32_t>(std::ceil(pool.localDemand));
    return usable > kept ? usable - kept : 0;
}

std::uint32_t lendCredit(pool_state& pool, const std::string& zone, std::uint32_t wanted, time_point now)
{
    if (now < pool.lendFrom)
        return 0;
    auto& lent = pool.lent[zone];
    std::erase_if(lent.grants, [&](const credit_grant& grant) { return now >= grant.lapses; });
    const auto others = slotsLent(pool, now) - std::max(lent.inUse, lentTo(lent, now));
    const auto lendable = lendableSlots(pool, now);
    const auto amount = std::min(wanted, lendable > others ? lendable - others : 0);
    if (amount > 0)
        lent.grants.push_back({ amount, now + pool.limits.creditTime });
    return amount;
}

void holdCredit(
    pool_state& pool, const std::string& zone, std::uint32_t amount, milliseconds valid, time_point sentAt)
{
    auto& held = pool.held[zone];
    const auto lapses = sentAt + valid * pool.limits.creditHeldPercent / WholePercent;
    if (lapses < held.lapses)
        return;
    held.amount = amount;
    held.lapses = lapses;
}

std::optional<std::uint64_t> takeCredit(
    pool_state& pool, const std::string& zone, const acquire_request& request, time_point now)
{
    constexpr unsigned EpochShift = 32;
    auto& held = pool.held[zone];
    ++held.wanted;
    if (now >= held.lapses || held.inUse >= held.amount)
        return std::nullopt;
    const auto id = (pool.epoch << EpochShift) + ++pool.lastReservation;
    restoreReservation(pool, id, { zone, request.vm, request.deadline + pool.limits.lapseGuard, {}, true });
    return id;
}

std::optional<std::uint32_t> wantedCredit(pool_state& pool, const std::string& zone, time_point now)
{
    auto& held = pool.held[zone];
    if (held.wanted == 0 || now < held.asked + pool.limits.creditEvery)
        return std::nullopt;
    const auto wanted = std::max<std::uint32_t>(held.inUse + 1, std::min(held.wanted, held.amount * 2 + 4));
    held.asked = now;
    held.wanted = held.inUse;
    return wanted;
}

} // namespace lhub
