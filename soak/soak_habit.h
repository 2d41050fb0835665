/** @file soak_habit.h Habits of the users' callers: what they ask for, and how they use connections. */
#pragma once

#include "core/name_table.h"
#include "core/time_type.h"
#include <string>

namespace lhub::soak {

/** How a caller uses connections. */
enum class caller_habit {
    Any, ///< A random mixture; scenarios without habits.
    PooledOrders, ///< Orders, not repeatable, over a pool of connections that are idle for long.
    PipelinedRecords, ///< Look-ups of records, several on a connection before the first response.
    FreshDownloads, ///< Downloads, each on a connection of its own.
};

/** Names of habits, as they are printed. */
inline constexpr std::array<name_row<caller_habit>, 4> HabitNames { {
    { caller_habit::Any, "any" },
    { caller_habit::PooledOrders, "order" },
    { caller_habit::PipelinedRecords, "record" },
    { caller_habit::FreshDownloads, "download" },
} };

/** What the callers of a habit ask for. */
struct habit_demand {
    caller_habit habit = caller_habit::Any;
    std::string_view service; ///< Also the name of its route, whose prefix is this name between slashes.
    bool repeatable = true; ///< GET rather than POST.
    milliseconds work { 0 }; ///< Time that the execution of a request takes.
    milliseconds deadline { 0 }; ///< Sent with each request; also the time-out of the route.
    std::size_t answerBytes = 0; ///< Size of the body of a response.
};

/** The demands on the users' deployment. */
inline constexpr std::array<habit_demand, 3> HabitDemands { {
    { caller_habit::PooledOrders, "orders", false, milliseconds(480), milliseconds(2500), 400 },
    { caller_habit::PipelinedRecords, "records", true, milliseconds(360), milliseconds(2000), 400 },
    { caller_habit::FreshDownloads, "downloads", true, milliseconds(288), milliseconds(2000), 90'000 },
} };

/** The demand of the caller with a number. Of ten callers four order, five look up records and one downloads. Thread safe. */
inline const habit_demand& demandOfCaller(unsigned number)
{
    const auto place = number % 10;
    return HabitDemands[place < 4 ? 0 : place < 9 ? 1
                                                  : 2];
}

} // namespace lhub::soak
