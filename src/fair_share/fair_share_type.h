/** @file fair_share_type.h Fair shares of a service's capacity among customers while requests exceed it. */
#pragma once

#include "core/time_type.h"
#include "limit/limit_type.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lhub {

/** A count of which each event decays exponentially with its age; see DemandTimeConstant. */
struct decayed_count {
    double value = 0; ///< At updatedAt.
    time_point updatedAt {};
};

/** What one customer asked of a service at this VM. */
struct customer_demand {
    decayed_count asked; ///< Requests, retries by this VM not counted.
    double credit = 0; ///< Requests that may be admitted now while the customer is above the fair level. Grows at the fair level, up to a maximum.
    time_point creditAt {}; ///< When credit was computed.
    time_point refusedAt {}; ///< Newest refusal for its share; time_point {} before the first.
    bool loggedAsLimited = false; ///< A share_change says that it is limited.
};

/** State of one service at this VM. */
struct service_shares_state {
    std::map<std::string, customer_demand> customers; ///< By name; requests without a customer are counted for the empty name. At most MaxSharingCustomers.
    std::map<std::uint32_t, time_point> priorities; ///< When each priority was asked for last, within PriorityTime; at most MaxPriorities.
    decayed_count asked; ///< Requests of all customers.
    decayed_count admitted; ///< Those among them that were admitted.
    decayed_count admissible; ///< Those among them that would have been admitted without sharing.
    time_point overloadedAt {}; ///< Newest sign of overload; time_point {} before the first.
    std::optional<double> level; ///< Requests a second that each customer is admitted at least; nothing while no customer is limited.
    time_point levelComputedAt {};
    double grantedPart = 1; ///< Part of the admitted rate that the level distributes; lower while requests within their share meet long queues.
    time_point queuedAt {}; ///< When a request within its share met a long queue last.
    time_point usedAt {}; ///< When its newest request came.
    bool loggedAsOverloaded = false; ///< A share_change says that it is overloaded.
    per_second_counts customerChanges; ///< Changes of customers that were reported; see MaxLoggedChanges.
};

/** State of all services at this VM. */
struct fair_share_table {
    bool enabled = true; ///< If not, requests are judged without regard to their customers. For comparisons in tests and benches.
    std::map<std::string, service_shares_state> services; ///< By name.
};

/** A request to be judged. */
struct share_query {
    std::string service;
    std::string customer; ///< Empty on public routes.
    std::uint32_t priority = 0; ///< Of the customer, or of the route without one; 0 is the most urgent.
    double waitMs = 0; ///< Expected wait for a slot of its endpoint.
    double objectiveMs = 0; ///< The route's objective.
    bool admissible = true; ///< It would be admitted without sharing.
};

/** How a request is judged. */
struct share_ruling {
    bool refused = false; ///< Its customer has had its share, and the request would have to wait for a slot.
    double maxWaitRatio = 0; ///< Bound on its wait, see admission_settings::maxWaitRatio.
    double creditMs = 0; ///< Time until the customer's credit allows one more request; 0 unless refused.
};

/** A change of state for the log. */
struct share_change {
    std::string service;
    std::string customer; ///< Customer that is or is no longer limited; nothing else changed. Empty for a change of the service.
    bool active = false; ///< The service is overloaded, or the customer limited.
    std::optional<double> level; ///< See service_shares_state::level.
};

} // namespace lhub
