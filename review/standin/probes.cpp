/** @file probes.cpp Observations that are no cases: what they show is not among what the review counts. */
#include "cases.h"

namespace lhub::review {

static constexpr unsigned Pipelined = 16;
static constexpr milliseconds LongWork { 3000 };
static constexpr milliseconds Deadline { 6000 };

static asio::awaitable<bool> startDeployment(world& world, milliseconds work)
{
    world.config.services["status-desk"] = { "status-desk", 390, seconds(3), 4 };
    world.config.routes = { makeRoute("read", "/read/", "status-desk", true, Deadline, milliseconds(5000)), makeRoute("write", "/write/", "status-desk", false, Deadline, milliseconds(5000)) };
    world.config.limits.maxBodyBytes = 67'108'864; // As in the examples of messages of the small sites.
    publishConfig(world);
    for (int i = 0; i < 8; ++i)
        addUpstream(world, "i-" + std::to_string(i + 1), "status-desk", i % 2 == 0 ? "a1" : "a2", 4, work);
    startMachines(world, { "a1", "a2", "b1" });
    const bool ready = co_await awaitReady(world, seconds(20));
    co_return ready;
}

/** A client sends several reads at once and leaves before the first answer. */
asio::awaitable<int> probePipelinedLeave(world& world)
{
    const bool ready = co_await startDeployment(world, LongWork);
    if (!ready)
        co_return CannotRun;
    const auto connection = co_await connectTo(world, world.gates.front());
    if (!connection)
        co_return CannotRun;
    const unsigned count = world.trouble ? Pipelined : Pipelined - 1;
    std::string bytes;
    for (unsigned i = 0; i < count; ++i)
        bytes += "GET /read/" + std::to_string(i) + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: p" + std::to_string(i) + "\r\nX-Deadline-Ms: 6000\r\nCookie: X-Affinity-Key=" + std::to_string(i) + "\r\n\r\n";
    error_code error;
    co_await asio::async_write(*connection->stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    co_await sleepFor(milliseconds(500));
    connection->stream->socket().close(error);
    const auto leftAt = std::chrono::steady_clock::now();
    note(world, "client has left, " + std::to_string(count) + " reads unanswered");
    co_await sleepFor(milliseconds(4000));
    unsigned late = 0;
    for (const auto& run : world.runs)
        late += run.endedAt == time_point {} || run.endedAt > leftAt + milliseconds(500) ? 1 : 0;
    note(world, "GONE: upstreams were at work on " + std::to_string(late) + " of " + std::to_string(world.runs.size()) + " reads half a second after the client had left");
    co_return late * 4 > world.runs.size() ? RuleBroken : RuleHeld;
}

/** A client sends a body in chunks; with the limit of the examples of messages, 64 MiB. */
asio::awaitable<int> probeChunkedBody(world& world)
{
    const bool ready = co_await startDeployment(world, milliseconds(20));
    if (!ready)
        co_return CannotRun;
    unsigned refused = 0;
    for (int i = 0; i < 10; ++i) {
        const auto connection = co_await connectTo(world, world.gates.front());
        if (!connection)
            co_return CannotRun;
        const std::string head = "PUT /write/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: c" + std::to_string(i) + "\r\nX-Deadline-Ms: 6000\r\n";
        const std::string bytes = head + (world.trouble ? "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" : "Content-Length: 5\r\n\r\nhello");
        error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        co_await asio::async_write(*connection->stream, asio::buffer(bytes), token);
        http::response_parser<http::string_body> parser;
        connection->stream->expires_after(seconds(3));
        co_await http::async_read(*connection->stream, connection->buffer, parser, token);
        note(world, "client: c" + std::to_string(i) + (error ? " no answer" : " answered " + std::to_string(parser.get().result_int()) + " " + parser.get().body()));
        refused += !error && parser.get().result_int() == 503 ? 1 : 0;
        co_await sleepFor(milliseconds(300));
    }
    note(world, std::to_string(refused) + " of 10 requests were refused with 503");
    co_return refused > 0 ? RuleBroken : RuleHeld;
}

} // namespace lhub::review
