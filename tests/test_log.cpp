/** @file test_log.cpp The log: its rate limit, and lines whose reader is slow, stalled or gone. */
#include "log/log_func.h"
#include "serve/serve_func.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

using namespace lhub;

TEST_CASE("the number of log lines stays within the burst and the rate of the log")
{
    log_bucket bucket;
    time_point now { seconds(1000) };
    unsigned taken = 0;
    for (int i = 0; i < 10'000; ++i)
        taken += takeLogToken(bucket, log_subject::Process, now) ? 1 : 0;
    CHECK(taken == static_cast<unsigned>(LogBurstLines));
    taken = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += milliseconds(1);
        taken += takeLogToken(bucket, log_subject::Process, now) ? 1 : 0;
    }
    CHECK(taken <= static_cast<unsigned>(10 * LogLinesPerSecond) + 1);
    CHECK(taken >= static_cast<unsigned>(10 * LogLinesPerSecond) - 1);
}

TEST_CASE("lines about requests leave tokens of the log's rate limit to lines about the process")
{
    log_bucket bucket;
    const time_point now { seconds(1000) };
    unsigned taken = 0;
    while (takeLogToken(bucket, log_subject::Request, now))
        ++taken;
    CHECK(taken == static_cast<unsigned>(LogBurstLines - ProcessLineTokens));
    for (unsigned i = 0; i < static_cast<unsigned>(ProcessLineTokens); ++i)
        REQUIRE(takeLogToken(bucket, log_subject::Process, now));
    CHECK_FALSE(takeLogToken(bucket, log_subject::Process, now));
}

TEST_CASE("the lines of a stop count as lines about the process, those of a request do not")
{
    for (const auto* event : { "start", "stop", "stopped" })
        CHECK(subjectOf(event) == log_subject::Lifecycle);
    for (const auto* event : { "cut_by_stop", "ready", "member" })
        CHECK(subjectOf(event) == log_subject::Process);
    for (const auto* event : { "send", "done", "answer", "attempt", "caller_rejected" })
        CHECK(subjectOf(event) == log_subject::Request);
}

/** The log on a pipe whose reader is the test. */
struct log_pipe {
    std::array<int, 2> ends {}; ///< For reading, for writing.
    manual_clock clock; ///< Advanced by logLines(), so that the rate limit drops nothing.

    log_pipe()
    {
        std::signal(SIGPIPE, SIG_IGN); // As lhub-gate does.
        REQUIRE(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        clock.present = time_point { seconds(1000) };
        openLog(ends[1]);
    }
    log_pipe(const log_pipe&) = delete;
    log_pipe& operator=(const log_pipe&) = delete;
    ~log_pipe()
    {
        closeLog(clock, clock.now());
        ::close(ends[0]);
        ::close(ends[1]);
    }
};

/** Logs a number of lines of about 200 bytes. */
static void logLines(log_pipe& pipe, std::string_view event, int count)
{
    for (int i = 0; i < count; ++i) {
        pipe.clock.present += milliseconds(10);
        logEvent(event, { { "id", std::to_string(i) }, { "text", std::string(170, 'x') } }, pipe.clock.present);
    }
}

/** Reads what the pipe holds. */
static std::string readPipe(const log_pipe& pipe)
{
    std::string text;
    std::array<char, 4096> part {};
    for (auto size = ::read(pipe.ends[0], part.data(), part.size()); size > 0; size = ::read(pipe.ends[0], part.data(), part.size()))
        text.append(part.data(), static_cast<std::size_t>(size));
    return text;
}

/** Reads the pipe until the log has written all lines that wait. */
static std::string readAll(const log_pipe& pipe)
{
    std::string text;
    for (auto part = readPipe(pipe); !part.empty(); part = readPipe(pipe)) {
        text += part;
        flushLog();
    }
    return text;
}

static std::size_t countLines(const std::string& text, const std::string& event)
{
    std::size_t count = 0;
    for (auto at = text.find("event=" + event + " "); at != std::string::npos; at = text.find("event=" + event + " ", at + 1))
        ++count;
    return count;
}

// Guards against lines that a full pipe swallows, as when the reader of the log stalls for some seconds.
TEST_CASE("a reader of the log that stalls gets all lines later, in order and complete")
{
    log_pipe pipe;
    logLines(pipe, "send", 1500); // More than a pipe of 64 KB holds.
    const auto text = readAll(pipe);
    CHECK(countLines(text, "send") == 1500);
    CHECK(logCounts().lost == 0);
    CHECK(text.find("id=0 ") < text.find("id=1499 "));
    CHECK(text.back() == '\n');
}

// Guards against a stop whose lines are missing because lines about requests have filled the log.
TEST_CASE("while nobody reads the log, lines about the process wait, and lost lines about requests are counted and named")
{
    log_pipe pipe;
    logLines(pipe, "send", 5000);
    logLines(pipe, "cut_by_stop", 50);
    logEvent("stopped", {}, pipe.clock.present);
    const auto lost = logCounts().lost;
    CHECK(lost > 0);
    const auto text = readAll(pipe);
    CHECK(countLines(text, "send") == 5000 - lost);
    CHECK(countLines(text, "cut_by_stop") == 50);
    CHECK(text.find("event=stopped") != std::string::npos);
    CHECK(text.find("lines_lost_before=" + std::to_string(lost)) != std::string::npos);
}

// Guards against a stop without its last line, as when it cuts off more requests than the rate of the log allows lines.
TEST_CASE("the line of the end of a stop is written however many requests it cuts off")
{
    log_pipe pipe;
    for (int i = 0; i < 600; ++i)
        logEvent("send", { { "id", std::to_string(i) } }, pipe.clock.present);
    for (int i = 0; i < 150; ++i)
        logEvent("cut_by_stop", { { "id", std::to_string(i) } }, pipe.clock.present);
    logEvent("stopped", {}, pipe.clock.present);
    CHECK(readAll(pipe).find("event=stopped lines_dropped_before=") != std::string::npos);
}

TEST_CASE("lines that wait when the reader of the log ends are counted as lost")
{
    log_pipe pipe;
    logLines(pipe, "send", 1500);
    ::close(pipe.ends[0]);
    logLines(pipe, "send", 1);
    CHECK(logCounts().lost > 1000);
    pipe.ends[0] = ::open("/dev/null", O_RDONLY);
}

static asio::awaitable<void> throwAtOnce()
{
    throw std::runtime_error("a fault");
    co_return;
}

// Guards against a graceful stop, or another task, that an exception ends without a trace.
TEST_CASE("an exception that ends a task of the process is logged")
{
    log_pipe pipe;
    asio::io_context context;
    gate_shell shell(context, pipe.clock, {}, "", makeGate({}, 1));
    spawn(shell, "stop", throwAtOnce());
    context.run();
    CHECK(readAll(pipe).find("event=failed task=stop reason=\"a fault\"") != std::string::npos);
}
