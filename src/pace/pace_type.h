/** @file pace_type.h Pace (slow start) of endpoints that have started or recovered. */
#pragma once

#include "core/name_table.h"
#include "core/time_type.h"
#include <cstdint>
#include <string>

namespace lhub {

/** Where endpoints that have started or recovered are paced. */
enum class pace_mode {
    Auto, ///< Where the configuration has customers, and for services whose endpoints report work times.
    On,
    Off,
};

inline constexpr std::array<name_row<pace_mode>, 3> PaceModeNames { { { pace_mode::Auto, "auto" }, { pace_mode::On, "on" }, { pace_mode::Off, "off" } } };

/** The pace of one start of an endpoint, as one VM sees it. */
struct endpoint_pace {
    time_point begunAt {}; ///< When it began: the end of the cold time or of the ejection, or when the cold time was first seen; the epoch before the first pace.
    bool cold = false; ///< The endpoint is cold: the level is the part of the rate that its owner may use, not a part of the objects.
    double level = 1; ///< Level at evidenceAt.
    time_point evidenceAt {}; ///< Time of the newest evidence: an answer, also to another VM, or begunAt.
    bool logged = false; ///< paceChange() has returned that it is below 1, and not yet that it has reached 1.
    unsigned roundsToSend = 0; ///< Rounds of gossip in which it is still to be sent to other VMs.
};

/** A change of a pace that is logged. */
struct pace_change {
    std::string id; ///< Identity of the endpoint.
    double level = 1;
    milliseconds after { 0 }; ///< Time since the pace began.
};

/** What the end of an attempt shows about the pace that its endpoint can take. */
enum class pace_evidence {
    None, ///< Nothing: an answer that says more about the caller, or one in time while requests wait.
    Good, ///< A 2xx response in time, without waiting requests.
    Bad, ///< A refusal, a failure, or a late or overdue response.
};

/** Message from one VM to another about the pace of an endpoint. */
struct pace_update {
    std::string id; ///< Identity of the endpoint.
    std::int64_t startUnixMs = 0; ///< The start of the endpoint that it is about.
    double level = 1; ///< Level at the time of the evidence.
    milliseconds age { 0 }; ///< Time since the evidence, summed over all VMs that passed it on.
};

} // namespace lhub
