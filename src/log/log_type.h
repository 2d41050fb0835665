/** @file log_type.h State of the log: limits on the rate of lines and on the lines that wait to be written. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <deque>
#include <string>

namespace lhub {

/** What a line is about. Lines about requests leave a part of each limit to the others, which are few and say what became of the process. */
enum class log_subject {
    Request, ///< One request or one connection: sent, answered, an attempt that failed.
    Process, ///< This process, and what it knows of others.
    Lifecycle, ///< The start and the end of this process; not subject to the limit on the rate.
};

/** Lines since the start of the process. */
struct log_counts {
    std::uint64_t written = 0; ///< Lines handed to the descriptor, or waiting for it.
    std::uint64_t dropped = 0; ///< Lines left out because the rate was too high.
    std::uint64_t lost = 0; ///< Lines that the descriptor did not take in time.
};

/** Largest burst, in lines; about 20 times the requests that a VM usually gets in a second. */
inline constexpr double LogBurstLines = 400;
/** Sustained rate, in lines per second; about 5 times the requests that a VM usually gets in a second. */
inline constexpr double LogLinesPerSecond = 200;
/** Tokens that are reserved for lines about the process. */
inline constexpr double ProcessLineTokens = 100;

/** Token bucket that limits the rate of lines; one token per line. */
struct log_bucket {
    double tokens = LogBurstLines; ///< Lines that may be written now.
    time_point refilledAt {}; ///< When it was last refilled; the epoch before the first line.
};

/** Most bytes of lines that wait while nobody reads the log: about half a minute of lines at the usual rate. */
inline constexpr std::size_t MaxBacklogBytes = 524'288;
/** Part of it that is reserved for lines about the process, its start and its end. */
inline constexpr std::size_t ProcessBacklogBytes = 65'536;

/** Part of that which is reserved for lines about the start and end of the process. */
inline constexpr std::size_t LifecycleBacklogBytes = 4096;

/** Lines that wait to be written, since the reader of the log is slower than the process. */
struct log_backlog {
    std::deque<std::string> lines; ///< Oldest first, each with its line break.
    std::size_t bytes = 0; ///< Of all lines, without those of the first one that were written.
    std::size_t writtenOfFirst = 0; ///< Bytes of the first line that were written already.
};

} // namespace lhub
