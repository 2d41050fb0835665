/** @file outcomes.h Checks that run after every event of a replay. */
#pragma once

#include "agent/agent_func.h"
#include "entry/entry_func.h"
#include <set>

namespace lhub {

/** A share of a shift's cap that another zone lent, as read from a message. */
struct loan_seen {
    std::uint32_t perSecond = 0; ///< Requests a second that may be moved with it.
    time_point expiresAt {}; ///< When it expires at the lender.
    std::string zone; ///< Zone that lent it.
};

/** What a check keeps from one event of a replay to the next. Each check uses the members it needs. */
struct replay_memory {
    std::map<std::uint64_t, std::string> methods; ///< HTTP method by request id.
    std::set<std::uint64_t> openRequests; ///< Ids of the requests whose dispatch has not ended.
    std::map<std::uint64_t, verdict> verdicts; ///< Verdict by request id, derived from the dispatch results and not from the reducer's state.
    std::map<std::string, std::uint64_t> versions; ///< Highest version seen, by key of the object.
    std::deque<std::pair<time_point, std::uint64_t>> recentMoves; ///< Times and numbers of the requests moved in the last second.
    std::uint64_t totalMoves = 0; ///< Requests moved since the start of the replay.
    std::vector<loan_seen> loans; ///< Loans that have not expired.
};

/** One event of a replay with its outcome, as the input of a check. */
struct replay_step {
    const timed_event& timed; ///< The event with its time.
    const entry_state& before; ///< State before it.
    const entry_state& after; ///< State after it.
    const entry_effects& effects; ///< Effects that the reducer returned.
};

/** A check after one event. Returns a description of the violation; empty if there is none. */
using entry_check = std::string (*)(const replay_step& step, replay_memory& memory);

/** One row of the table of outcomes. */
struct outcome_row {
    std::string_view name; ///< Name in the header of a trace.
    entry_check check; ///< Called after every event.
};

/** The outcomes that a trace can list in its header (table/outcomes.cpp). Thread safe. */
const std::vector<outcome_row>& outcomeRows();

} // namespace lhub
