/** @file self_report_type.h What endpoints say about themselves in their responses. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>

namespace lhub {

/** What an endpoint says about itself in the header of one response. */
struct self_report {
    bool leaving = false; ///< It is about to end and must not get new requests.
    milliseconds pause { 0 }; ///< It wants no requests of this VM for this long; 0 when it does not say so.
};

/** What is known from the reports of one start of an endpoint. */
struct self_report_state {
    std::int64_t startUnixMs = 0; ///< The start that the reports are about, as in endpoint_registration.
    time_point reportedAt {}; ///< When the newest report was received.
    time_point leavingSince {}; ///< When it was first known to leave; the epoch while it is not. It stays set until the endpoint starts again.
    time_point pausedUntil {}; ///< It wants no requests of this VM before this; the epoch when it never said so.
};

/** What a report changed. */
struct self_report_change {
    bool leaving = false; ///< The endpoint is newly known to leave.
    bool paused = false; ///< The endpoint wants no requests for longer than was known.
};

/** The states by id of the endpoint. Kept apart from the registrations, since these may be lost, or come back as they were before a report. */
using self_report_table = std::map<std::string, self_report_state>;

} // namespace lhub
