/** @file serve_answer.cpp Connections of callers: answers out, in the order of the requests. */
#include "net/http_func.h"
#include "serve/serve_func.h"

namespace lhub {

/** Silence in the middle of an answer that ends it once the request's time is over: some retransmissions between regions. */
static constexpr milliseconds StreamSilence { 1000 };
/** Retry-After for a request whose body finds no room: about the time that a body is held. */
static constexpr milliseconds BodyRetryAfter { 500 };

/** An answer of our own. */
static http_response ownAnswer(const gate_exchange& exchange, const answer_request& answer)
{
    auto response = makeProblem(static_cast<http::status>(answer.status), std::string(answer.reason), "");
    if (answer.retryAfter.count() > 0)
        platform::addRetryAfter(response, answer.retryAfter);
    platform::addCallerId(response, exchange.callerId);
    return response;
}

static void countLatency(gate_shell& shell, const gate_exchange& exchange)
{
    const auto took = elapsed(exchange.arrived, shell.clock.now()).count();
    std::size_t row = 0;
    while (row < LatencyBounds.size() && took > LatencyBounds[row])
        ++row;
    const auto* route = shell.state.routes ? findRoute(*shell.state.routes, std::string_view(exchange.request[http::field::host]), std::string_view(exchange.request.target())) : nullptr;
    if (route)
        ++shell.latency[route->name][row];
}

/** The head of a relayed answer. */
template <typename Body>
static http::response<Body> relayedHead(const gate_attempt& attempt, const gate_exchange& exchange, bool close)
{
    const auto& from = attempt.parser->get();
    http::response<Body> response;
    response.result(from.result_int());
    response.reason(from.reason());
    response.version(exchange.request.version());
    http::token_list named(from[http::field::connection]);
    for (const auto& field : from) {
        if (!isHopByHop(field.name()) && !named.exists(field.name_string()))
            response.insert(field.name(), field.name_string(), field.value());
    }
    response.keep_alive(!close);
    return response;
}

/** Relays an answer that was read whole. */
static asio::awaitable<bool> relayWhole(caller_connection& caller, gate_exchange& exchange, bool close)
{
    auto& attempt = *exchange.relayed;
    auto response = relayedHead<http::string_body>(attempt, exchange, close);
    response.body() = std::move(attempt.body);
    // The answer to HEAD announces a length without a body.
    if (exchange.request.method() != http::verb::head)
        response.prepare_payload();
    error_code error;
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write(caller.socket, serializer, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

/** Relays an answer while it is read. @return false when it ended short, to the caller visibly. */
static asio::awaitable<bool> relayStream(gate_shell& shell, caller_connection& caller, gate_exchange& exchange, bool close)
{
    const auto patience = limitsOf(shell).idleTime;
    auto& attempt = *exchange.relayed;
    auto response = relayedHead<http::buffer_body>(attempt, exchange, close);
    const bool hasLength = attempt.parser->content_length().has_value();
    if (!hasLength && response.version() >= 11)
        response.chunked(true);
    response.body().data = nullptr;
    response.body().more = true;
    http::response_serializer<http::buffer_body> serializer(response);
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await http::async_write_header(caller.socket, serializer, token);
    bool more = true;
    while (!error && more) {
        bool read = true;
        caller.writeUntil = time_point::max();
        // Bytes that keep coming do not prolong the answer for ever.
        attempt.readUntil = std::min(std::max(attempt.command.deadline, shell.clock.now() + StreamSilence), attempt.command.deadline + patience);
        if (attempt.body.empty())
            read = co_await readMore(attempt);
        if (!read)
            co_return false;
        attempt.readUntil = time_point::max();
        caller.writeUntil = shell.clock.now() + patience;
        more = !attempt.parser->is_done();
        response.body().data = attempt.body.empty() ? nullptr : attempt.body.data();
        response.body().size = attempt.body.size();
        response.body().more = more;
        co_await http::async_write(caller.socket, serializer, token);
        if (error == http::error::need_buffer)
            error = {};
        attempt.body.clear();
    }
    co_return !error;
}

/** Writes the answer of one exchange. @return false when the connection cannot go on. */
static asio::awaitable<bool> writeAnswer(gate_shell& shell, const std::shared_ptr<caller_connection>& caller, gate_exchange& exchange)
{
    // Requests that were read behind this one are still answered; nothing more is read.
    caller->closing = caller->closing || shell.stopping || !exchange.request.keep_alive();
    caller->writeUntil = shell.clock.now() + limitsOf(shell).idleTime;
    const bool close = caller->closing && caller->queue.size() == 1;
    if (exchange.own) {
        auto response = ownAnswer(exchange, *exchange.own);
        response.version(exchange.request.version());
        response.keep_alive(!close);
        response.prepare_payload();
        if (exchange.request.method() == http::verb::head)
            response.body().clear();
        error_code error;
        http::response_serializer<http::string_body> serializer(response);
        co_await http::async_write(caller->socket, serializer, asio::redirect_error(asio::use_awaitable, error));
        co_return !error && !close;
    }
    const auto attempt = exchange.relayed;
    const bool whole = attempt->parser->is_done();
    bool done = false;
    if (whole)
        done = co_await relayWhole(*caller, exchange, close);
    else
        done = co_await relayStream(shell, *caller, exchange, close);
    if (done && !whole)
        releaseConnection(shell, *attempt);
    if (done) {
        ++shell.counters.relayed;
        countLatency(shell, exchange);
        co_return !close;
    }
    ++shell.counters.cutShort;
    writeLine("relay_cut", { { "id", exchange.callerId }, { "endpoint", attempt->command.endpoint } }, shell.clock.now());
    cancelAttempt(*attempt);
    resetCaller(*caller);
    co_return false;
}

/** Answers what could not be read, after everything that was. */
static asio::awaitable<void> writeBadRequest(const std::shared_ptr<caller_connection>& caller)
{
    const bool noRoom = caller->badStatus == 503;
    auto response = makeProblem(static_cast<http::status>(caller->badStatus), noRoom ? "no room for the request" : "the request cannot be read", "");
    if (noRoom)
        platform::addRetryAfter(response, BodyRetryAfter);
    response.keep_alive(false);
    response.prepare_payload();
    error_code error;
    co_await http::async_write(caller->socket, response, asio::redirect_error(asio::use_awaitable, error));
}

/** Lets the caller read the last answer: a close with unread bytes would reset the connection. */
static asio::awaitable<void> closeGently(gate_shell& shell, std::shared_ptr<caller_connection> caller)
{
    error_code error;
    caller->socket.shutdown(tcp::socket::shutdown_send, error);
    caller->expires = shell.clock.now() + seconds(1);
    std::array<char, 1024> rest;
    std::size_t total = 0;
    while (!error && total < 1'000'000)
        total += co_await caller->socket.async_read_some(asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
    closeCaller(*caller);
}

/** The request has ended for its caller. */
static void forgetExchange(gate_shell& shell, const gate_exchange& exchange)
{
    for (const auto& [id, attempt] : exchange.attempts) {
        if (!attempt->reported)
            shell.orphans.push_back(attempt);
    }
    shell.bodyBytes -= exchange.request.body().size();
    shell.exchanges.erase(exchange.id);
}

asio::awaitable<void> writeCaller(gate_shell& shell, std::shared_ptr<caller_connection> caller)
{
    bool going = true;
    while (going && caller->socket.is_open()) {
        if (caller->queue.empty() && caller->badStatus != 0) {
            co_await writeBadRequest(caller);
            break;
        }
        if (caller->queue.empty() && (caller->readerDone || caller->closing))
            break;
        if (caller->queue.empty() || !caller->queue.front()->resolved()) {
            co_await awaitChange(*caller);
            continue;
        }
        const auto exchange = caller->queue.front();
        going = co_await writeAnswer(shell, caller, *exchange);
        caller->writeUntil = time_point::max();
        caller->queue.pop_front();
        exchange->relayed.reset();
        forgetExchange(shell, *exchange);
        wakeCaller(*caller);
    }
    for (const auto& exchange : caller->queue) {
        feedGate(shell, caller_gone { exchange->id });
        if (exchange->relayed)
            cancelAttempt(*exchange->relayed);
        forgetExchange(shell, *exchange);
    }
    caller->queue.clear();
    if (caller->socket.is_open())
        co_await closeGently(shell, caller);
}

} // namespace lhub
