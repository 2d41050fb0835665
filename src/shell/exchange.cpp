/** @file exchange.cpp A caller's request from its head to its answer. */
#include "shell/exchange_type.h"

#include "core/json_fields.h"
#include "net/http_func.h"
#include <charconv>

namespace lhub {

using error_code = boost::system::error_code;

/** Reads the first part of the body; afterwards `bodyKept` says whether that was all. */
static asio::awaitable<bool> readBodyStart(exchange& each)
{
    error_code error;
    if (beast::iequals(each.parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(each.caller, proceed, asio::redirect_error(asio::use_awaitable, error));
    }
    std::vector<char> piece(each.limits.replayBytes);
    while (!error && !each.parser.is_done() && each.body.size() < each.limits.replayBytes) {
        auto& body = each.parser.get().body();
        body.data = piece.data();
        body.size = each.limits.replayBytes - each.body.size();
        const auto wanted = body.size;
        co_await http::async_read_some(
            each.caller, each.buffer, each.parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        each.body.append(piece.data(), wanted - body.size);
    }
    each.bodyKept = each.parser.is_done();
    co_return !error;
}

/** Answers with a problem document that carries the verdict. */
static asio::awaitable<void> sendProblem(exchange& each, const answer_caller& answer)
{
    const json::value document = { { "type", "about:blank" },
        { "title", http::obsolete_reason(static_cast<http::status>(answer.status)) }, { "status", answer.status },
        { "detail", answer.reason }, { "verdict", nameOf(VerdictNames, answer.known) },
        { "request_id", each.requestId } };
    auto response = makeAnswer(
        static_cast<http::status>(answer.status), json::serialize(document), "application/problem+json");
    response.set("Lhub-Request-Id", each.requestId);
    response.set("Lhub-Verdict", std::string(nameOf(VerdictNames, answer.known)));
    response.set("Lhub-Vm", each.shell.state.vm);
    each.keepCaller = each.keepCaller && each.parser.is_done();
    response.keep_alive(each.keepCaller);
    response.prepare_payload();
    error_code error;
    each.caller.expires_after(each.limits.idle);
    co_await http::async_write(each.caller, response, asio::redirect_error(asio::use_awaitable, error));
}

/** Zone that sent the request as a hop; empty when a caller did. Only a registered VM of that zone is believed. */
static std::string hopSource(const exchange& each)
{
    std::string claimed(each.parser.get()["Lhub-Source-Zone"]);
    const auto sender = each.shell.index.zoneOfVmIp.find(each.from);
    if (sender == each.shell.index.zoneOfVmIp.end() || sender->second != claimed)
        return {};
    return claimed;
}

/** Deadline that the caller gives; the start of the clock when it gives none, nothing when it is malformed. */
static std::optional<time_point> callerDeadline(const exchange& each)
{
    const auto given = each.parser.get()["Lhub-Deadline-Ms"];
    if (given.empty())
        return time_point {};
    std::uint32_t ms = 0;
    const char* const end = given.data() + given.size();
    const auto parsed = std::from_chars(given.data(), end, ms);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return each.shell.clock.now() + milliseconds(ms);
}

/** The request as the reducer sees it. */
static request_state describeRequest(const exchange& each, time_point deadline)
{
    const auto& head = each.parser.get();
    request_state request;
    request.id = each.id;
    request.requestId = each.requestId;
    request.service = each.service;
    request.method = std::string(head.method_string());
    request.key = std::string(head["Idempotency-Key"]);
    request.sourceZone = hopSource(each);
    request.deadline = deadline;
    return request;
}

/** Obeys the reducer until the request has ended. */
static asio::awaitable<void> obeyCommands(exchange& each)
{
    while (true) {
        const auto command = co_await each.commands->async_receive(asio::use_awaitable);
        if (const auto* answer = std::get_if<answer_caller>(&command)) {
            if (each.relayed && !each.parser.is_done())
                each.keepCaller = false;
            co_await sendProblem(each, *answer);
            co_return;
        }
        const auto ended = co_await forwardOnce(each, std::get<dispatch>(command));
        const bool answering = each.relayed && each.bodyKept;
        const bool replayable = !each.relayed && each.bodyKept;
        feedEvent(each.shell, dispatch_ended { each.id, ended, replayable, each.endpointLeaving });
        if (ended == dispatch_outcome::Whole)
            co_return;
        if (ended == dispatch_outcome::Cut || ended == dispatch_outcome::CallerGone
            || (answering && ended != dispatch_outcome::Shed)) {
            each.keepCaller = false;
            co_return;
        }
    }
}

asio::awaitable<void> serveExchange(exchange& each)
{
    auto& shell = each.shell;
    const auto began = shell.clock.now();
    each.id = ++shell.lastId;
    each.requestId = std::string(each.parser.get()["Lhub-Request-Id"]);
    if (each.requestId.empty())
        each.requestId = shell.state.vm + "-" + std::to_string(shell.state.members.incarnation) + "-"
            + std::to_string(each.id);
    each.keepCaller = each.parser.keep_alive();
    if (!co_await readBodyStart(each)) {
        each.keepCaller = false;
        co_return;
    }
    const auto deadline = callerDeadline(each);
    if (!deadline) {
        const std::string given(each.parser.get()["Lhub-Deadline-Ms"]);
        const answer_caller refusal { each.id, static_cast<unsigned>(http::status::bad_request), verdict::NotRun,
            "Lhub-Deadline-Ms: '" + given + "': expected a number of milliseconds" };
        co_await sendProblem(each, refusal);
        co_return;
    }
    constexpr std::size_t ChannelSize = 4;
    each.commands = std::make_shared<exchange_channel>(shell.context, ChannelSize);
    shell.exchanges[each.id] = each.commands;
    feedEvent(shell, request_arrived { describeRequest(each, *deadline) });
    co_await obeyCommands(each);
    shell.exchanges.erase(each.id);
    if (shell.state.view.services.count(each.service) == 0)
        co_return;
    const std::chrono::duration<double, std::milli> took = shell.clock.now() - began;
    addLatency(shell.latency[each.service], took.count());
}

} // namespace lhub
