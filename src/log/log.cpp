/** @file log.cpp Structured log lines, written with spdlog. */
#include "log/log_func.h"

#include <algorithm>
#include <fcntl.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace lhub {

namespace {

    /** The log of the process. Not thread safe. */
    struct process_log {
        std::shared_ptr<spdlog::logger> logger; ///< Null before openLog().
        log_bucket bucket; ///< Limits the rate of lines.
        log_counts counts; ///< Lines since the start of the process.
        std::uint64_t reportedDrops = 0; ///< Dropped lines that are included in a lines_dropped_before field already.
    };

} // namespace

static process_log& processLog()
{
    static process_log log;
    return log;
}

bool takeLogToken(log_bucket& bucket, time_point now)
{
    if (bucket.refilledAt != time_point {}) {
        const double elapsedSeconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
        bucket.tokens = std::min(LogBurstLines, bucket.tokens + elapsedSeconds * LogLinesPerSecond);
    }
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

void openLog()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK); // A reader of the log that stalls must not delay requests.
    auto& log = processLog();
    log.logger = spdlog::stdout_logger_st("lhub");
    log.logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %v");
    log.logger->flush_on(spdlog::level::info);
}

/** Appends a value; quotes it if it is empty or contains a space, tab, line break, quote or '='. Control characters in a quoted value become spaces. */
static void appendValue(std::string& line, std::string_view value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos;
    if (plain) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    line += '"';
}

void logEvent(std::string_view event, const log_fields& fields, time_point now)
{
    auto& log = processLog();
    if (!log.logger)
        return;
    if (!takeLogToken(log.bucket, now)) {
        ++log.counts.dropped;
        return;
    }
    std::string line = "event=" + std::string(event);
    for (const auto& [name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        appendValue(line, value);
    }
    if (log.counts.dropped > log.reportedDrops) {
        line += " lines_dropped_before=" + std::to_string(log.counts.dropped - log.reportedDrops);
        log.reportedDrops = log.counts.dropped;
    }
    ++log.counts.written;
    log.logger->info(line);
}

const log_counts& logCounts() { return processLog().counts; }

} // namespace lhub
