/** @file time_type.h Time types, and the clock as an interface. */
#pragma once

#include <chrono>

namespace lhub {

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Source of monotonic time. Programs pass the system's, tests a manual one. */
struct clock_source {
    virtual ~clock_source() = default;
    /** Monotonic time that goes on while the process is paused. Thread safe. */
    virtual time_point now() const = 0;
};

/** The monotonic clock of the system. */
struct system_clock_source final : clock_source {
    time_point now() const override { return std::chrono::steady_clock::now(); }
};

/** A clock that tests move by hand. Not thread safe. */
struct manual_clock final : clock_source {
    time_point present {}; ///< What now() returns.
    time_point now() const override { return present; }
};

/** Whole milliseconds from @p from to @p to, never negative. Thread safe. */
inline milliseconds elapsed(time_point from, time_point to)
{
    if (to <= from)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace lhub
