/** @file self_report_type.h What endpoints say about themselves in their responses. */
#pragma once

#include "limit/limit_type.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lhub {

/** What an endpoint says about itself in the header of one response. */
struct self_report {
    bool leaving = false; ///< It is about to end and must not get new requests.
    milliseconds pause { 0 }; ///< It wants no requests of this VM for this long; 0 when it does not say so.
    std::optional<double> requestsPerSecond; ///< Requests that it takes from all VMs together; empty for no limit.
};

/** What is known from the reports of the newest start of an endpoint that has made any. */
struct self_report_state {
    std::int64_t startUnixMs = 0; ///< The start that the reports are about, as in endpoint_registration.
    time_point reportedAt {}; ///< When the endpoint made the newest report, to this VM or to another one.
    bool leaving = false; ///< It leaves; final for this start.
    time_point pausedUntil {}; ///< It wants no requests of this VM before this; the epoch when it never said so.
    std::optional<double> requestsPerSecond; ///< Limit on the requests of all VMs in its newest report; empty for none.
    recent_dispatches dispatches; ///< Requests that this VM sent since it knows of a limit.
    time_point lastDispatchAt {}; ///< The newest of them; the epoch before the first.
    std::optional<double> announcedLimit; ///< requestsPerSecond when it was last logged and sent to other VMs.
    unsigned roundsToSend = 0; ///< Rounds of gossip in which it is still to be sent to other VMs.
};

/** What a report changed. */
struct self_report_change {
    bool leaving = false; ///< The endpoint is newly known to leave.
    bool paused = false; ///< The endpoint wants no requests for longer than was known.
    bool limit = false; ///< Its limit is new, has another value, or is gone.
};

/** Message from one VM to another about an endpoint's reports. A pause is left out, since it concerns one VM only. */
struct report_update {
    std::string id; ///< Identity of the endpoint.
    std::int64_t startUnixMs = 0; ///< The start of the endpoint that it is about.
    bool leaving = false; ///< The endpoint is about to end.
    std::optional<double> requestsPerSecond; ///< Limit on the requests of all VMs; empty for none.
    milliseconds age { 0 }; ///< Time since the endpoint said so, summed over all VMs that passed it on.
};

/** The states by id of the endpoint. Kept apart from the registrations, since these may be lost, or come back as they were before a report. */
using self_report_table = std::map<std::string, self_report_state>;

} // namespace lhub
