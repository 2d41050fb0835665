/** @file log_func.h Structured log lines on standard output, with a limited rate and without blocking. Not thread safe. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lhub {

/** Names and values of the fields of one line, in the order of output. */
using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/** Lines since the start of the process. */
struct log_counts {
    std::uint64_t written = 0; ///< Lines handed to standard output.
    std::uint64_t dropped = 0; ///< Lines left out because the rate was too high.
};

/** Token bucket that limits the rate of lines; one token per line. */
struct log_bucket {
    double tokens = 400; ///< Lines that may be written now; starts at LogBurstLines.
    time_point refilledAt {}; ///< When it was last refilled; the epoch before the first line.
};

/** Largest burst, in lines; about 20 times the requests that a VM usually gets in a second. */
inline constexpr double LogBurstLines = 400;
/** Sustained rate, in lines per second; about 5 times the requests that a VM usually gets in a second. */
inline constexpr double LogLinesPerSecond = 200;

/** Refills the bucket up to @p now and takes one token. @return false when there is none: the line must be dropped. Not thread safe. */
bool takeLogToken(log_bucket& bucket, time_point now);

/** Opens the log on standard output and makes that non-blocking. Call it once; lines before it are discarded without being counted. */
void openLog();

/** Writes the line "event=EVENT NAME=VALUE ...", with values quoted where needed; counts it as dropped when the rate is too high. */
void logEvent(std::string_view event, const log_fields& fields, time_point now);

const log_counts& logCounts();

} // namespace lhub
