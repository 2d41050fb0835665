/** @file loss_func.h Why a request got no response on time, and how good the forecasts of attempts were. */
#pragma once

#include "loss/loss_type.h"

namespace lhub {

/** Whether an answered attempt took so long, beyond network and expected wait, that the object was probably not cached: the
 *  border is the geometric mean of both processing times. Thread safe. */
bool tookUncachedTime(const attempt_forecast& forecast);

/** Cause for which an answered attempt was late. @param wasLateByForecast its expected time already exceeded the objective. Thread safe. */
loss_cause causeOfLateAttempt(const attempt_forecast& forecast, bool wasLateByForecast);

/** Counts an answered attempt. Not thread safe. */
void countForecast(loss_counts& counts, const attempt_forecast& forecast);

/** Counts the end of a request. Not thread safe. @param customer name of its customer; empty without one. */
void countLoss(loss_counts& counts, const std::string& service, const std::string& customer, service_result result, loss_cause cause);

} // namespace lhub
