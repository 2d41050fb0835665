/** @file exchange.cpp Serves a request for a service: reads it, and executes the commands of the reducer. */
#include "shell/exchange_type.h"

#include "core/json_fields.h"
#include "net/http_func.h"
#include <charconv>

namespace lhub {

using error_code = boost::system::error_code;

/** Reads the first part of the body and sets bodyBuffered. False when the caller's connection failed. */
static asio::awaitable<bool> readBodyStart(caller_exchange& exchange)
{
    error_code error;
    if (beast::iequals(exchange.parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> interim(http::status::continue_, 11);
        co_await http::async_write(exchange.caller, interim, asio::redirect_error(asio::use_awaitable, error));
    }
    std::vector<char> readBuffer(exchange.limits.replayBufferBytes);
    while (!error && !exchange.parser.is_done() && exchange.body.size() < exchange.limits.replayBufferBytes) {
        auto& body = exchange.parser.get().body();
        body.data = readBuffer.data();
        body.size = exchange.limits.replayBufferBytes - exchange.body.size();
        const auto capacity = body.size;
        co_await http::async_read_some(
            exchange.caller, exchange.buffer, exchange.parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        exchange.body.append(readBuffer.data(), capacity - body.size);
    }
    exchange.bodyBuffered = exchange.parser.is_done();
    co_return !error;
}

/** Responds with a problem document that states the verdict. */
static asio::awaitable<void> sendProblem(caller_exchange& exchange, const answer_caller& refusal)
{
    const json::value document = { { "type", "about:blank" },
        { "title", http::obsolete_reason(static_cast<http::status>(refusal.status)) }, { "status", refusal.status },
        { "detail", refusal.reason }, { "verdict", nameOf(VerdictNames, refusal.known) },
        { "request_id", exchange.requestId } };
    auto response = makeResponse(
        static_cast<http::status>(refusal.status), json::serialize(document), "application/problem+json");
    response.set("Lhub-Request-Id", exchange.requestId);
    response.set("Lhub-Verdict", std::string(nameOf(VerdictNames, refusal.known)));
    response.set("Lhub-Vm", exchange.shell.state.vm);
    exchange.keepAlive = exchange.keepAlive && exchange.parser.is_done();
    response.keep_alive(exchange.keepAlive);
    response.prepare_payload();
    error_code error;
    exchange.caller.expires_after(exchange.limits.idleTimeout);
    co_await http::async_write(exchange.caller, response, asio::redirect_error(asio::use_awaitable, error));
}

/**
 * Zone whose entry VM forwarded the request; empty when a caller sent it. Lhub-Source-Zone counts only when it comes
 * from the IP of a registered VM of that zone.
 */
static std::string verifiedSourceZone(const caller_exchange& exchange)
{
    std::string sourceZone(exchange.parser.get()["Lhub-Source-Zone"]);
    const auto sender = exchange.shell.lookupIndex.zoneOfVmIp.find(exchange.callerIp);
    if (sender == exchange.shell.lookupIndex.zoneOfVmIp.end() || sender->second != sourceZone)
        return {};
    return sourceZone;
}

/** Deadline that the caller gives; the epoch of the clock when it gives none, nothing when it is malformed. */
static std::optional<time_point> callerDeadline(const caller_exchange& exchange)
{
    const auto given = exchange.parser.get()["Lhub-Deadline-Ms"];
    if (given.empty())
        return time_point {};
    std::uint32_t ms = 0;
    const char* const end = given.data() + given.size();
    const auto parsed = std::from_chars(given.data(), end, ms);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return exchange.shell.clock.now() + milliseconds(ms);
}

/** The request in the form for the reducer. */
static request_state makeRequestState(const caller_exchange& exchange, time_point deadline)
{
    const auto& header = exchange.parser.get();
    request_state request;
    request.id = exchange.id;
    request.requestId = exchange.requestId;
    request.service = exchange.service;
    request.method = std::string(header.method_string());
    request.key = std::string(header["Idempotency-Key"]);
    request.sourceZone = verifiedSourceZone(exchange);
    request.deadline = deadline;
    return request;
}

/** Executes the commands of the reducer until the request has ended. */
static asio::awaitable<void> executeCommands(caller_exchange& exchange)
{
    while (true) {
        const auto command = co_await exchange.commands->async_receive(asio::use_awaitable);
        if (const auto* answer = std::get_if<answer_caller>(&command)) {
            if (exchange.mustNotResend && !exchange.parser.is_done())
                exchange.keepAlive = false;
            co_await sendProblem(exchange, *answer);
            co_return;
        }
        const auto ended = co_await forwardOnce(exchange, std::get<dispatch>(command));
        const bool responseBegun = exchange.mustNotResend && exchange.bodyBuffered;
        const bool replayable = !exchange.mustNotResend && exchange.bodyBuffered;
        feedEvent(exchange.shell, dispatch_ended { exchange.id, ended, replayable, exchange.endpointLeaving });
        if (ended == dispatch_outcome::Whole)
            co_return;
        if (ended == dispatch_outcome::Truncated || ended == dispatch_outcome::CallerGone
            || (responseBegun && ended != dispatch_outcome::Shed)) {
            exchange.keepAlive = false;
            co_return;
        }
    }
}

asio::awaitable<void> serveExchange(caller_exchange& exchange)
{
    auto& shell = exchange.shell;
    const auto beganAt = shell.clock.now();
    exchange.id = ++shell.lastId;
    exchange.requestId = std::string(exchange.parser.get()["Lhub-Request-Id"]);
    if (exchange.requestId.empty())
        exchange.requestId = shell.state.vm + "-" + std::to_string(shell.state.members.incarnation) + "-"
            + std::to_string(exchange.id);
    exchange.keepAlive = exchange.parser.keep_alive();
    if (!co_await readBodyStart(exchange)) {
        exchange.keepAlive = false;
        co_return;
    }
    const auto deadline = callerDeadline(exchange);
    if (!deadline) {
        const std::string given(exchange.parser.get()["Lhub-Deadline-Ms"]);
        const answer_caller refusal { exchange.id, static_cast<unsigned>(http::status::bad_request), verdict::NotRun,
            "Lhub-Deadline-Ms: '" + given + "': expected a number of milliseconds" };
        co_await sendProblem(exchange, refusal);
        co_return;
    }
    constexpr std::size_t ChannelSize = 4;
    exchange.commands = std::make_shared<exchange_channel>(shell.context, ChannelSize);
    shell.exchanges[exchange.id] = exchange.commands;
    feedEvent(shell, request_arrived { makeRequestState(exchange, *deadline) });
    co_await executeCommands(exchange);
    shell.exchanges.erase(exchange.id);
    if (shell.state.view.services.count(exchange.service) == 0)
        co_return;
    const std::chrono::duration<double, std::milli> latency = shell.clock.now() - beganAt;
    addLatency(shell.latency[exchange.service], latency.count());
}

} // namespace lhub
