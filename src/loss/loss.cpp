/** @file loss.cpp Why a request got no response on time, and how good the forecasts of attempts were. */
#include "loss/loss_func.h"

#include <algorithm>
#include <cmath>

namespace lhub {

/** Processing beyond this multiple of the time of an uncached object is not explained by the cache. */
static constexpr double SlowFactor = 2;

static double processingMsOf(const attempt_forecast& forecast)
{
    return forecast.actualMs - forecast.networkMs - forecast.waitMs;
}

bool tookUncachedTime(const attempt_forecast& forecast)
{
    return processingMsOf(forecast) > std::sqrt(forecast.cachedMs * forecast.uncachedMs);
}

loss_cause causeOfLateAttempt(const attempt_forecast& forecast, bool wasLateByForecast)
{
    if (processingMsOf(forecast) > SlowFactor * forecast.uncachedMs)
        return loss_cause::EndpointSlow;
    if (!forecast.expectedCached)
        return loss_cause::Uncached;
    if (wasLateByForecast)
        return loss_cause::Queued;
    return tookUncachedTime(forecast) ? loss_cause::NotCached : loss_cause::Queued;
}

void countForecast(loss_counts& counts, const attempt_forecast& forecast)
{
    const double ratio = forecast.actualMs / std::max(1.0, forecast.expectedMs);
    std::size_t bucket = 0;
    while (bucket < ForecastRatioBounds.size() && ratio > ForecastRatioBounds[bucket])
        ++bucket;
    ++(forecast.expectedCached ? counts.cachedRatios : counts.uncachedRatios)[bucket];
    if (!forecast.expectedCached)
        return;
    ++counts.placedAsCached;
    counts.placedAsCachedWrongly += tookUncachedTime(forecast) ? 1 : 0;
}

/** Counts of a customer, or those shared by all further ones. */
static auto& countsOfCustomer(loss_counts& counts, const std::string& customer)
{
    const bool known = counts.resultsByCustomer.count(customer) > 0;
    return counts.resultsByCustomer[known || counts.resultsByCustomer.size() < MaxCountedCustomers ? customer : std::string()];
}

void countLoss(loss_counts& counts, const std::string& service, const std::string& customer, service_result result, loss_cause cause)
{
    if (!customer.empty())
        ++countsOfCustomer(counts, customer)[static_cast<std::size_t>(result)];
    ++counts.resultsByService[service][static_cast<std::size_t>(result)];
    if (result != service_result::OnTime)
        ++counts.causesByService[service][static_cast<std::size_t>(cause)];
}

} // namespace lhub
