/** @file smuggled.cpp A client hides a request in the body of another one, whose transfer coding is not chunked. */
#include "cases.h"

namespace lhub::review {

static constexpr milliseconds Timeout { 3000 };

/** Sends bytes on a new connection and notes what comes back until the connection ends or nothing has come for a second. */
static asio::awaitable<std::string> sendBytes(world& world, const gate_process& gate, std::string bytes)
{
    const auto connection = co_await connectTo(world, gate);
    std::string received;
    if (!connection)
        co_return received;
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    connection->stream->expires_after(seconds(2));
    co_await asio::async_write(*connection->stream, asio::buffer(bytes), token);
    while (!error) {
        std::array<char, 4096> part;
        connection->stream->expires_after(seconds(1));
        const auto count = co_await connection->stream->async_read_some(asio::buffer(part), token);
        received.append(part.data(), count);
    }
    co_return received;
}

asio::awaitable<int> playSmuggled(world& world)
{
    world.config.services["pledge-till"] = { "pledge-till", 390, seconds(3), 4 };
    world.config.routes = { makeRoute("pay", "/till/pay/", "pledge-till", false, Timeout, milliseconds(800)) };
    publishConfig(world);
    for (const auto* zone : { "a1", "a1", "b1" })
        addUpstream(world, "i-" + std::to_string(world.upstreams.size() + 1), "pledge-till", zone, 4, milliseconds(20));
    startMachines(world, { "a1", "a2", "b1" });
    const bool ready = co_await awaitReady(world, seconds(20));
    if (!ready)
        co_return CannotRun;
    const std::string common = "Host: shop.example\r\nX-Deadline-Ms: 3000\r\n";
    const std::string inner = "PUT /till/pay/inner HTTP/1.1\r\n" + common + "X-Request-Id: inner\r\nContent-Length: 5\r\n\r\nextra";
    const std::vector<std::string> codings { "identity", "chunked, identity", "chunked, chunked", "x-coding" };
    bool broken = false;
    for (const auto& coding : codings) {
        const auto before = world.runs.size();
        // Without the disruption the same bytes are sent as a body with a length.
        const std::string header = world.trouble ? "Transfer-Encoding: " + coding + "\r\n\r\n" + inner : "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner;
        note(world, "client sends outer PUT with " + (world.trouble ? "Transfer-Encoding: " + coding : std::string("Content-Length")));
        const auto received = co_await sendBytes(world, world.gates.front(), "PUT /till/pay/outer HTTP/1.1\r\n" + common + "X-Request-Id: outer\r\n" + header);
        for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos; at = received.find("HTTP/1.1 ", at + 1))
            note(world, "client receives " + received.substr(at, received.find('\r', at) - at));
        auto run = std::next(world.runs.begin(), static_cast<std::ptrdiff_t>(before));
        for (; run != world.runs.end(); ++run) {
            if (run->id == "inner") {
                note(world, "UNASKED: the request inside the body of the other one runs at " + run->upstream);
                broken = true;
            }
        }
    }
    co_return broken ? RuleBroken : RuleHeld;
}

} // namespace lhub::review
