/** @file fair_share.cpp Fair shares of a service's capacity among customers while requests exceed it. */
#include "fair_share/fair_share_func.h"

#include "limit/limit_func.h"
#include <algorithm>
#include <cmath>

namespace lhub {

/** Time constant of the counts. Long enough for some requests of each customer at one VM, and short enough to follow a burst. */
static constexpr milliseconds DemandTimeConstant { 2000 };
/** The service counts as overloaded for this time after a sign of it. */
static constexpr milliseconds OverloadTime { 1000 };
/** Least time between two computations of the fair level, which take time linear in the customers. */
static constexpr milliseconds LevelInterval { 100 };
/** Nobody is limited while at least this part of the requests is admitted. Ends the sharing when demand falls; without it the level
 *  would follow the requests that it admits, and stay. */
static constexpr double FullyAdmittedPart = 0.95;
/**
 * A request beyond its customer's share is admitted when its wait is below the usual bound times the level divided by the customer's
 * demand, or below this part of the objective. So slots that other customers leave unused are not lost, and a customer that is just above
 * the level because its requests come at random is judged almost as one below it. On the load with a hot customer in
 * tests/test_fair_share.cpp 0.1 loses 5 % of the served requests and 0.2 loses 3 %; at 0.25 the other customers get 3 % fewer on time.
 */
static constexpr double SpareWaitRatio = 0.2;
/**
 * Requests within their share that would wait for more than LongWaitRatio of the objective show that the level was computed from
 * requests that went into the queue. The part of the admitted rate that the level distributes then falls, and rises again without them.
 */
static constexpr double LongWaitRatio = 0.5;
static constexpr double MinGrantedPart = 0.85; // At 0.7 the level falls below the usual rates of the other customers.
/** Times, in seconds, in which that part falls and rises by a factor of e. */
static constexpr double GrantFallTime = 1;
static constexpr double GrantRiseTime = 4;
/**
 * The level distributes at least this part of what would be admitted without sharing. Where requests of other VMs fill the queues, what
 * this VM does not admit makes no room, and the level would fall to nothing with what it admits. At 0.5 and above the floor is reached on
 * the load with a hot customer, and the other customers get fewer on time.
 */
static constexpr double MinAdmissiblePart = 0.4;
/** Maximum of a customer's credit: one request, and what the level grants in this time. */
static constexpr seconds CreditTime { 1 };
/** Bound on the wait of each further priority: this much lower than that of the priority before, in parts of the objective. */
static constexpr double PriorityWaitStep = 0.15;
static constexpr double MinPriorityWaitRatio = 0.3;
/** A priority is present for this time after its newest request. */
static constexpr seconds PriorityTime { 5 };
static constexpr std::size_t MaxPriorities = 16;
/** A customer counts as limited for this time after a refusal, so that the log does not follow single requests. */
static constexpr seconds LimitedTime { 5 };
/** Most changes of customers that are reported for a service in LogWindow. */
static constexpr std::uint32_t MaxLoggedChanges = 10;
static constexpr seconds LogWindow { 10 };
/** Least part of a delay over which it is spread. */
static constexpr double MinJitterPart = 0.3;
/** A customer whose decayed count is below this is dropped; a single request decays to it within 10 s. */
static constexpr double MinDemand = 0.007;
/** A service without a request for this time is dropped. */
static constexpr seconds UnusedServiceTime { 60 };

static double secondsBetween(time_point from, time_point to) { return std::chrono::duration<double>(to - from).count(); }

static double valueAt(const decayed_count& count, time_point now)
{
    return count.value * std::exp(-secondsBetween(count.updatedAt, now) / std::chrono::duration<double>(DemandTimeConstant).count());
}

static void addOne(decayed_count& count, time_point now)
{
    count.value = valueAt(count, now) + 1;
    count.updatedAt = now;
}

/** Events a second that a count stands for. */
static double rateAt(const decayed_count& count, time_point now)
{
    return valueAt(count, now) / std::chrono::duration<double>(DemandTimeConstant).count();
}

/** Whether @p event, time_point {} for none, was at most @p span ago. */
static bool isWithin(time_point event, time_point now, time_point::duration span) { return event != time_point {} && now - event <= span; }

bool isOverloaded(const service_shares_state& service, time_point now) { return isWithin(service.overloadedAt, now, OverloadTime); }

std::size_t limitedCustomers(const service_shares_state& service, time_point now)
{
    return static_cast<std::size_t>(std::count_if(service.customers.begin(), service.customers.end(), [&](const auto& customer) { return isWithin(customer.second.refusedAt, now, LimitedTime); }));
}

std::optional<double> fairLevel(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    double left = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double level = left / static_cast<double>(demands.size() - i);
        if (demands[i] > level)
            return level;
        left -= demands[i];
    }
    return std::nullopt;
}

milliseconds spreadDelay(milliseconds wait, milliseconds shortest, milliseconds longest, std::uint64_t hash)
{
    const auto from = std::max(wait, shortest);
    const auto until = std::min(2 * from, longest);
    const auto lowest = std::min(from, milliseconds(static_cast<std::int64_t>((1 - MinJitterPart) * static_cast<double>(until.count()))));
    return lowest + milliseconds(hash % static_cast<std::uint64_t>((until - lowest).count() + 1));
}

/** Drops the least active tenth of the customers, so that the cost for each new customer is constant on average. */
static void dropLeastActive(service_shares_state& service, time_point now)
{
    std::vector<std::pair<double, std::string>> byActivity;
    byActivity.reserve(service.customers.size());
    for (const auto& [name, customer] : service.customers)
        byActivity.emplace_back(valueAt(customer.asked, now), name);
    const auto end = byActivity.begin() + MaxSharingCustomers / 10;
    std::nth_element(byActivity.begin(), end, byActivity.end());
    std::for_each(byActivity.begin(), end, [&](const auto& dropped) { service.customers.erase(dropped.second); });
}

static service_shares_state& serviceOf(fair_share_table& table, const std::string& name, time_point now)
{
    const auto found = table.services.find(name);
    if (found != table.services.end())
        return found->second;
    for (auto service = table.services.begin(); service != table.services.end();)
        service = isWithin(service->second.usedAt, now, UnusedServiceTime) ? std::next(service) : table.services.erase(service);
    return table.services[name];
}

static double maxCredit(double level) { return 1 + level * std::chrono::duration<double>(CreditTime).count(); }

/** Adds the credit since it was computed last. */
static void refillCredit(customer_demand& customer, double level, time_point now)
{
    const double grown = customer.creditAt == time_point {} ? maxCredit(level) : customer.credit + level * secondsBetween(customer.creditAt, now);
    customer.credit = std::min(maxCredit(level), grown);
    customer.creditAt = now;
}

/** Computes the fair level anew, unless that was done within LevelInterval, and drops customers that left. */
static void updateLevel(service_shares_state& service, time_point now)
{
    if (isWithin(service.levelComputedAt, now, LevelInterval))
        return;
    const double span = std::min(1.0, secondsBetween(service.levelComputedAt, now));
    const bool queued = service.queuedAt > service.levelComputedAt;
    service.grantedPart = queued ? std::max(MinGrantedPart, service.grantedPart * std::exp(-span / GrantFallTime)) : std::min(1.0, service.grantedPart * std::exp(span / GrantRiseTime));
    service.levelComputedAt = now;
    const double asked = rateAt(service.asked, now);
    const double admitted = rateAt(service.admitted, now);
    const bool wasLimited = service.level.has_value();
    service.level.reset();
    for (auto customer = service.customers.begin(); customer != service.customers.end();) {
        const bool left = valueAt(customer->second.asked, now) < MinDemand && !customer->second.loggedAsLimited;
        customer = left ? service.customers.erase(customer) : std::next(customer);
    }
    for (auto priority = service.priorities.begin(); priority != service.priorities.end();)
        priority = isWithin(priority->second, now, PriorityTime) ? std::next(priority) : service.priorities.erase(priority);
    if (!isOverloaded(service, now) || service.customers.size() < 2 || admitted >= FullyAdmittedPart * asked) {
        service.grantedPart = 1;
        return;
    }
    if (!wasLimited)
        service.grantedPart = 1;
    std::vector<double> demands;
    demands.reserve(service.customers.size());
    for (const auto& [name, customer] : service.customers)
        demands.push_back(rateAt(customer.asked, now));
    service.level = fairLevel(std::move(demands), std::max(service.grantedPart * admitted, MinAdmissiblePart * rateAt(service.admissible, now)));
}

/** Bound on the wait of a request of this priority; decreases with its rank among those present. */
static double waitRatioOf(const service_shares_state& service, std::uint32_t priority, double maxWaitRatio)
{
    double ratio = maxWaitRatio;
    for (const auto& [other, seenAt] : service.priorities) {
        if (other < priority)
            ratio -= PriorityWaitStep;
    }
    return std::max(ratio, std::min(maxWaitRatio, MinPriorityWaitRatio));
}

/** Counts a new request. @return its customer. */
static customer_demand& countAsked(service_shares_state& service, const share_query& query, time_point now)
{
    service.usedAt = now;
    addOne(service.asked, now);
    if (query.admissible)
        addOne(service.admissible, now);
    if (service.priorities.size() < MaxPriorities || service.priorities.count(query.priority) > 0)
        service.priorities[query.priority] = now;
    if (service.customers.size() >= MaxSharingCustomers && service.customers.count(query.customer) == 0)
        dropLeastActive(service, now);
    auto& customer = service.customers[query.customer];
    addOne(customer.asked, now);
    return customer;
}

share_ruling judgeShare(fair_share_table& table, const share_query& query, double maxWaitRatio, time_point now)
{
    share_ruling ruling;
    ruling.maxWaitRatio = maxWaitRatio;
    if (!table.enabled)
        return ruling;
    auto& service = serviceOf(table, query.service, now);
    auto& customer = countAsked(service, query, now);
    if (query.waitMs > maxWaitRatio * query.objectiveMs)
        service.overloadedAt = now;
    updateLevel(service, now);
    if (!service.level)
        return ruling;
    refillCredit(customer, *service.level, now);
    ruling.maxWaitRatio = waitRatioOf(service, query.priority, maxWaitRatio);
    const double levelPart = *service.level / rateAt(customer.asked, now);
    if (levelPart >= 1 || customer.credit >= 1) {
        if (query.waitMs > LongWaitRatio * query.objectiveMs)
            service.queuedAt = now;
        return ruling;
    }
    if (query.waitMs <= std::max(SpareWaitRatio, ruling.maxWaitRatio * levelPart) * query.objectiveMs)
        return ruling;
    ruling.refused = true;
    ruling.creditMs = 1000 * (1 - customer.credit) / *service.level;
    customer.refusedAt = now;
    service.overloadedAt = now;
    return ruling;
}

void recordAdmitted(fair_share_table& table, const share_query& query, time_point now)
{
    const auto found = table.services.find(query.service);
    if (found == table.services.end())
        return;
    addOne(found->second.admitted, now);
    const auto customer = found->second.customers.find(query.customer);
    if (customer != found->second.customers.end())
        customer->second.credit = std::max(0.0, customer->second.credit - 1);
}

void recordQueueRefusal(fair_share_table& table, const share_query& query, time_point now)
{
    const auto found = table.services.find(query.service);
    if (found != table.services.end())
        found->second.overloadedAt = now;
}

std::vector<share_change> takeShareChanges(fair_share_table& table, const std::string& name, time_point now)
{
    std::vector<share_change> changes;
    const auto found = table.services.find(name);
    if (found == table.services.end() || found->second.levelComputedAt != now)
        return changes; // The states of customers follow the level.
    auto& service = found->second;
    // An overload that comes and goes within seconds is one for the log.
    const bool overloaded = isWithin(service.overloadedAt, now, service.loggedAsOverloaded ? time_point::duration(LimitedTime) : time_point::duration(OverloadTime));
    if (!overloaded && !service.loggedAsOverloaded)
        return changes;
    if (overloaded != service.loggedAsOverloaded)
        changes.push_back({ name, "", overloaded, service.level });
    service.loggedAsOverloaded = overloaded;
    for (auto& [customerName, customer] : service.customers) {
        const bool limited = overloaded && isWithin(customer.refusedAt, now, LimitedTime);
        if (limited == customer.loggedAsLimited)
            continue;
        // The end of a reported limit is always reported, so that no customer stays limited for the reader.
        if (limited && eventsWithin(service.customerChanges, now, LogWindow) >= MaxLoggedChanges)
            continue;
        countEvent(service.customerChanges, now);
        customer.loggedAsLimited = limited;
        changes.push_back({ name, customerName, limited, service.level });
    }
    return changes;
}

} // namespace lhub
