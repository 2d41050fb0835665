/** @file fair_share_func.h Fair shares of a service's capacity among customers while requests exceed it. */
#pragma once

#include "fair_share/fair_share_type.h"

namespace lhub {

/** Most customers with a state of their own in one service. Bounds memory; the least active ones are dropped. */
inline constexpr std::size_t MaxSharingCustomers = 1000;

/**
 * The fair level L: the sum of min(demand, L) over @p demands is @p capacity, so that nobody gets more than L and what one leaves
 * unused goes to the others (max-min fairness). Nothing when @p capacity covers all demands. Thread safe.
 */
std::optional<double> fairLevel(std::vector<double> demands, double capacity);

/**
 * A delay of @p wait to twice that, from @p shortest to @p longest, by @p hash. Where a bound leaves less than 30 % of it for the jitter
 * the delay is 0.7 to 1 times @p longest, so that callers with the same bound do not retry together. Thread safe.
 */
milliseconds spreadDelay(milliseconds wait, milliseconds shortest, milliseconds longest, std::uint64_t hash);

/**
 * Counts a new request and judges it. Not for retries, which are never refused for a share. Not thread safe.
 * @param maxWaitRatio bound on the wait without sharing; the bound of the most urgent priority.
 */
share_ruling judgeShare(fair_share_table& table, const share_query& query, double maxWaitRatio, time_point now);

/** Records that a judged request was admitted. Not thread safe. */
void recordAdmitted(fair_share_table& table, const share_query& query, time_point now);

/** Records that a judged request was refused because of the queue, or because the wait did not leave enough time. Not thread safe. */
void recordQueueRefusal(fair_share_table& table, const share_query& query, time_point now);

/** Whether requests for the service exceeded its slots lately. Thread safe on a const object. */
bool isOverloaded(const service_shares_state& service, time_point now);

/** Customers of the service that were refused for their share lately. Thread safe on a const object. */
std::size_t limitedCustomers(const service_shares_state& service, time_point now);

/** Changes of state of a service since the last call, with a limited number of changes of customers. Computed at most every LevelInterval
 *  and only while the service is or was overloaded. Not thread safe. */
std::vector<share_change> takeShareChanges(fair_share_table& table, const std::string& service, time_point now);

} // namespace lhub
