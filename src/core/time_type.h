/** @file time_type.h Time types, and the interface of the clock. */
#pragma once

#include <chrono>

namespace lhub {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A source of monotonic time; programs use that of the system. */
struct clock_source {
    virtual ~clock_source() = default;
    /** The monotonic time, which also advances while the process is paused. Thread safe. */
    virtual time_point now() const = 0;
};

/** The monotonic clock of the system. */
struct system_clock_source final : clock_source {
    time_point now() const override { return std::chrono::steady_clock::now(); }
};

/** A clock for tests, which set its time. Not thread safe. */
struct manual_clock final : clock_source {
    time_point present {}; ///< What now() returns.
    time_point now() const override { return present; }
};

/** Time from @p from to @p to, rounded down to milliseconds; 0 if @p to is earlier. Thread safe. */
inline milliseconds elapsed(time_point from, time_point to)
{
    if (to <= from)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace lhub
