/** @file outcomes.h Checks that watch a replay. */
#pragma once

#include "agent/agent_func.h"
#include "entry/entry_func.h"
#include <set>

namespace lhub {

/** A loan seen in a message. */
struct loan_seen {
    std::uint32_t perSecond = 0; ///< Moves a second.
    time_point lapses {}; ///< At the lender.
    std::string zone; ///< Who lent it.
};

/** What the checks remember of a replay. */
struct replay_memory {
    std::map<std::uint64_t, std::string> methods; ///< Method of each request.
    std::set<std::uint64_t> open; ///< Requests whose dispatch has not ended.
    std::map<std::uint64_t, verdict> known; ///< What their dispatches said so far, independently of the reducer.
    std::map<std::string, std::uint64_t> versions; ///< Highest version seen of each object.
    std::deque<std::pair<time_point, std::uint64_t>> moves; ///< Moves of the last second.
    std::uint64_t moved = 0; ///< Moves so far.
    std::vector<loan_seen> borrowed; ///< Loans that still count.
};

/** One step of a replay, as the checks see it. */
struct replay_step {
    const timed_event& timed; ///< The event.
    const entry_state& before; ///< State before it.
    const entry_state& after; ///< State after it.
    const entry_effects& effects; ///< What it brought about.
};

/** A check after one event: what is wrong, empty when nothing is. */
using entry_check = std::string (*)(const replay_step& step, replay_memory& memory);

/** One row of the table of outcomes. */
struct outcome_row {
    std::string_view name; ///< As in a header.
    entry_check check; ///< Runs after every event.
};

/** The outcomes that a trace may state (table/outcomes.cpp). Thread safe. */
const std::vector<outcome_row>& outcomeRows();

} // namespace lhub
