/** @file log_func.h Structured log lines on standard output, bounded and never blocking. */
#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lhub {

/** Fields of one line. */
using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/** What the log has done since the start. */
struct log_counts {
    std::uint64_t written = 0; ///< Lines written.
    std::uint64_t dropped = 0; ///< Lines left out because there were too many.
};

/** Bound on the volume: a bucket of lines that fills at a steady rate. */
struct log_bucket {
    double lines = 400; ///< Lines that may be written at once.
    time_point filled {}; ///< When it was filled last.
};

/** Largest burst of lines, and the steady rate a second: about 20 and 5 times a VM's usual requests a second. */
inline constexpr double LogBurst = 400;
inline constexpr double LogPerSecond = 200;

/** Takes a line out of the bucket; false when it is empty. Not thread safe. */
bool takeLine(log_bucket& bucket, time_point now);

/** Opens the log on standard output, which is made non-blocking. Once, before the first line. */
void openLog();

/** Writes "event=... key=value ...", values with spaces quoted; counts it as dropped when there are too many. */
void writeLine(std::string_view event, const log_fields& fields, time_point now);

/** Lines written and dropped. */
const log_counts& logCounts();

} // namespace lhub
