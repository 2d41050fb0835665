/** @file log_func.h Structured log lines on standard output, with a limited rate and without blocking. Not thread safe. */
#pragma once

#include "log/log_type.h"
#include <string_view>
#include <utility>
#include <vector>

namespace lhub {

/** Names and values of the fields of one line, in the order of output. */
using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/** Refills the bucket up to @p now and takes one token. @return false when none may be taken: the line must be dropped. Not thread safe. */
bool takeLogToken(log_bucket& bucket, log_subject subject, time_point now);

/** What the lines of an event are about. Thread safe. */
log_subject subjectOf(std::string_view event);

/** Adds a line to those that wait to be written. @return false when it has no room and is lost. Not thread safe. */
bool addLine(log_backlog& backlog, log_subject subject, std::string_view line);

/** Writes waiting lines to a non-blocking descriptor, as far as it takes them. @return lines that are lost since nobody can read them any more. Not thread safe. */
std::uint64_t writeBacklog(log_backlog& backlog, int descriptor);

/** Opens the log on standard output and makes that non-blocking. Lines before the first call are discarded without being counted. */
void openLog();
/** Opens the log on another descriptor, which must stay open until closeLog(); for tests. */
void openLog(int descriptor);

/**
 * Writes the line "event=EVENT NAME=VALUE ...", with values quoted where needed. It is counted as dropped when the rate is too high. It waits in the process
 * while the descriptor takes no more, and is counted as lost when there is no room to wait.
 */
void logEvent(std::string_view event, const log_fields& fields, time_point now);

/** Writes lines that wait since the descriptor was full. Call it regularly: otherwise only the next line writes them. */
void flushLog();

/** Writes the lines that wait, until @p until; the only function of the log that blocks. Later lines are discarded without being counted. */
void closeLog(const clock_source& clock, time_point until);

const log_counts& logCounts();

} // namespace lhub
