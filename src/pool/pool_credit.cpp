/** @file pool_credit.cpp Credits: how many requests one zone may have in flight at the endpoints of another. */
#include "pool/pool_func.h"

#include <algorithm>
#include <cmath>

namespace lhub {

constexpr std::uint32_t WholePercent = 100;

std::uint32_t unexpiredCredit(const credit_lent& credit, time_point now)
{
    std::uint32_t highest = 0;
    for (const auto& grant : credit.grants) {
        if (now < grant.expiresAt)
            highest = std::max(highest, grant.amount);
    }
    return highest;
}

/** Slots that may be lent to all zones together: the usable ones less the reserve and the peak of local demand. */
static std::uint32_t lendableSlots(const pool_state& pool, time_point now)
{
    const auto usable = usableSlots(pool, now);
    const auto reserve = (usable * pool.limits.reservePercent + WholePercent - 1) / WholePercent;
    const auto kept = reserve + static_cast<std::uint32_t>(std::ceil(pool.localDemandPeak));
    return usable > kept ? usable - kept : 0;
}

std::uint32_t lendCredit(pool_state& pool, const std::string& zone, std::uint32_t wanted, time_point now)
{
    if (now < pool.lendNotBefore)
        return 0;
    auto& credit = pool.creditsLent[zone];
    std::erase_if(credit.grants, [&](const credit_grant& grant) { return now >= grant.expiresAt; });
    const auto lentToOthers = slotsLent(pool, now) - std::max(credit.inUse, unexpiredCredit(credit, now));
    const auto lendable = lendableSlots(pool, now);
    const auto amount = std::min(wanted, lendable > lentToOthers ? lendable - lentToOthers : 0);
    if (amount > 0)
        credit.grants.push_back({ amount, now + pool.limits.creditLifetime });
    return amount;
}

void recordCredit(
    pool_state& pool, const std::string& zone, std::uint32_t amount, milliseconds valid, time_point sentAt)
{
    auto& credit = pool.creditsHeld[zone];
    const auto expiresAt = sentAt + valid * pool.limits.holderLifetimePercent / WholePercent;
    if (expiresAt < credit.expiresAt)
        return;
    credit.amount = amount;
    credit.expiresAt = expiresAt;
}

std::optional<std::uint64_t> reserveCredit(
    pool_state& pool, const std::string& zone, const acquire_request& request, time_point now)
{
    constexpr unsigned EpochShift = 32;
    auto& credit = pool.creditsHeld[zone];
    ++credit.demand;
    if (now >= credit.expiresAt || credit.inUse >= credit.amount)
        return std::nullopt;
    const auto id = (pool.epoch << EpochShift) + ++pool.lastReservation;
    addReservation(pool, id, { zone, request.vm, request.deadline + pool.limits.expiryGrace, {}, true });
    return id;
}

std::optional<std::uint32_t> nextCreditRequest(pool_state& pool, const std::string& zone, time_point now)
{
    auto& credit = pool.creditsHeld[zone];
    if (credit.demand == 0 || now < credit.requestedAt + pool.limits.creditRequestInterval)
        return std::nullopt;
    const auto wanted = std::max<std::uint32_t>(credit.inUse + 1, std::min(credit.demand, credit.amount * 2 + 4));
    credit.requestedAt = now;
    credit.demand = credit.inUse;
    return wanted;
}

} // namespace lhub
