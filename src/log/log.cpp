/** @file log.cpp Structured log lines, formatted with spdlog. */
#include "log/log_func.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace lhub {

/** Events whose lines are about one request or connection, except those that the end of a stop cuts off. */
static constexpr std::array<std::string_view, 10> RequestEvents { "send", "attempt", "done", "answer", "caller_gone", "caller_rejected", "caller_stuck", "relay_cut", "forecast_missed", "bad_request" };
/** Events whose lines are about the start or the end of the process. */
static constexpr std::array<std::string_view, 3> LifecycleEvents { "start", "stop", "stopped" };

namespace {

    /** The log of the process. Not thread safe. */
    struct process_log {
        std::shared_ptr<spdlog::logger> logger; ///< Null before openLog().
        int descriptor = -1; ///< Where lines are written; -1 before openLog().
        log_subject subject = log_subject::Process; ///< Of the line that is being logged.
        log_bucket bucket; ///< Limits the rate of lines.
        log_backlog backlog; ///< Lines that are not written yet.
        log_counts counts; ///< Lines since the start of the process.
        std::uint64_t reportedDrops = 0; ///< Dropped lines that are included in a lines_dropped_before field already.
        std::uint64_t reportedLosses = 0; ///< Lost lines that are included in a lines_lost_before field already.
    };

} // namespace

static process_log& processLog()
{
    static process_log log;
    return log;
}

namespace {

    /** Adds formatted lines to the backlog of the process, and writes what the descriptor takes. */
    struct backlog_sink final : spdlog::sinks::base_sink<spdlog::details::null_mutex> {
        void sink_it_(const spdlog::details::log_msg& message) override
        {
            auto& log = processLog();
            spdlog::memory_buf_t text;
            formatter_->format(message, text);
            if (addLine(log.backlog, log.subject, { text.data(), text.size() }))
                ++log.counts.written;
            else
                ++log.counts.lost;
        }

        void flush_() override { flushLog(); }
    };

} // namespace

bool takeLogToken(log_bucket& bucket, log_subject subject, time_point now)
{
    if (bucket.refilledAt != time_point {}) {
        const double elapsedSeconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
        bucket.tokens = std::min(LogBurstLines, bucket.tokens + elapsedSeconds * LogLinesPerSecond);
    }
    bucket.refilledAt = now;
    if (subject == log_subject::Lifecycle)
        return true;
    const double reserved = subject == log_subject::Request ? ProcessLineTokens : 0;
    if (bucket.tokens < 1 + reserved)
        return false;
    bucket.tokens -= 1;
    return true;
}

log_subject subjectOf(std::string_view event)
{
    const auto isOneOf = [&](const auto& events) { return std::find(events.begin(), events.end(), event) != events.end(); };
    if (isOneOf(RequestEvents))
        return log_subject::Request;
    return isOneOf(LifecycleEvents) ? log_subject::Lifecycle : log_subject::Process;
}

/** Bytes of the backlog that lines about @p subject leave to others. */
static std::size_t reservedBytes(log_subject subject)
{
    switch (subject) {
    case log_subject::Request:
        return ProcessBacklogBytes;
    case log_subject::Process:
        return LifecycleBacklogBytes;
    default:
        return 0;
    }
}

bool addLine(log_backlog& backlog, log_subject subject, std::string_view line)
{
    if (backlog.bytes + line.size() + reservedBytes(subject) > MaxBacklogBytes)
        return false;
    backlog.lines.emplace_back(line);
    backlog.bytes += line.size();
    return true;
}

/** Removes all lines that wait. @return their number. */
static std::uint64_t discardBacklog(log_backlog& backlog)
{
    const auto count = backlog.lines.size();
    backlog = {};
    return count;
}

std::uint64_t writeBacklog(log_backlog& backlog, int descriptor)
{
    while (!backlog.lines.empty()) {
        const auto& first = backlog.lines.front();
        const auto wanted = first.size() - backlog.writtenOfFirst;
        const auto written = ::write(descriptor, first.data() + backlog.writtenOfFirst, wanted);
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return 0;
        if (written < 0)
            return discardBacklog(backlog);
        backlog.bytes -= static_cast<std::size_t>(written);
        backlog.writtenOfFirst += static_cast<std::size_t>(written);
        if (backlog.writtenOfFirst < first.size())
            continue;
        backlog.lines.pop_front();
        backlog.writtenOfFirst = 0;
    }
    return 0;
}

void openLog() { openLog(STDOUT_FILENO); }

void openLog(int descriptor)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK); // A reader of the log that stalls must not delay requests.
    auto& log = processLog();
    log = {};
    log.descriptor = descriptor;
    log.logger = std::make_shared<spdlog::logger>("lhub", std::make_shared<backlog_sink>());
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
    log.subject = subjectOf(event);
    if (!takeLogToken(log.bucket, log.subject, now)) {
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
    const auto before = log.counts;
    if (before.dropped > log.reportedDrops)
        line += " lines_dropped_before=" + std::to_string(before.dropped - log.reportedDrops);
    if (before.lost > log.reportedLosses)
        line += " lines_lost_before=" + std::to_string(before.lost - log.reportedLosses);
    log.logger->info(line);
    if (log.counts.written == before.written) // This line is lost as well.
        return;
    log.reportedDrops = before.dropped;
    log.reportedLosses = before.lost;
}

void flushLog()
{
    auto& log = processLog();
    log.counts.lost += writeBacklog(log.backlog, log.descriptor);
}

void closeLog(const clock_source& clock, time_point until)
{
    auto& log = processLog();
    flushLog();
    pollfd waiting { log.descriptor, POLLOUT, 0 };
    for (auto left = elapsed(clock.now(), until); !log.backlog.lines.empty() && left.count() > 0; left = elapsed(clock.now(), until)) {
        // An interrupted wait begins anew.
        if (::poll(&waiting, 1, static_cast<int>(left.count())) < 0 && errno != EINTR)
            break;
        flushLog();
    }
    log.logger.reset();
}

const log_counts& logCounts() { return processLog().counts; }

} // namespace lhub
