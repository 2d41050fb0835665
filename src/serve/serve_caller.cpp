/** @file serve_caller.cpp Connections of callers: requests in, answers out in order. */
#include "net/http_func.h"
#include "serve/serve_func.h"
#include <sys/socket.h>

namespace lhub {

/** Requests of one connection that are worked on at the same time. */
static constexpr std::size_t MostPipelined = 16;
/** Room beyond the announced idle time, so that a caller that uses all of it is not cut. */
static constexpr milliseconds IdleMargin { 3000 };

/** Silence in the middle of an answer that ends it once the request's time is over: some retransmissions between regions. */
static constexpr milliseconds StreamSilence { 1000 };
/** Retry-After for a request whose body finds no room: about the time that a body is held. */
static constexpr milliseconds BodyRetryAfter { 500 };

using request_parser = http::request_parser<http::string_body>;
using caller_pointer = std::shared_ptr<caller_connection>;

static caller_limits limitsOf(const gate_shell& shell)
{
    return shell.state.routes ? shell.state.routes->config.limits : caller_limits {};
}

static void closeCaller(caller_connection& caller)
{
    error_code ignored; // Nothing depends on it.
    caller.socket.close(ignored);
    caller.changed.cancel();
}

/** Ends a connection so that an answer in progress cannot look complete. */
static void resetCaller(caller_connection& caller)
{
    error_code ignored; // The close below has the same effect but for the reset.
    caller.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    closeCaller(caller);
}

/** Waits until something about the connection has changed. */
static asio::awaitable<void> awaitChange(caller_connection& caller)
{
    error_code cancelled; // A cancelled wait is the signal.
    co_await caller.changed.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

static void notify(caller_connection& caller) { caller.changed.cancel(); }

/** The status for a request that could not be read. */
static unsigned statusOf(const error_code& error)
{
    if (error == http::error::buffer_overflow) // No room for the request: see readRequest().
        return 503;
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    return 400;
}

/** Whether the connection ended, rather than sending something malformed. */
static bool isEnd(const error_code& error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() != http::make_error_code(http::error::end_of_stream).category();
}

/** Hands a request to the reducer. */
static void startExchange(gate_shell& shell, const caller_pointer& caller, http::request<http::string_body> request)
{
    auto exchange = std::make_shared<gate_exchange>();
    exchange->id = ++shell.lastExchange;
    exchange->request = std::move(request);
    shell.bodyBytes += exchange->request.body().size();
    exchange->arrived = shell.clock.now();
    const auto facts = platform::decodeCaller(exchange->request);
    exchange->callerId = facts.id;
    exchange->onResolved = [weak = std::weak_ptr(caller)] {
        if (const auto alive = weak.lock())
            notify(*alive);
    };
    ++shell.counters.requests;
    shell.exchanges[exchange->id] = exchange;
    caller->queue.push_back(exchange);
    request_seen event;
    event.id = exchange->id;
    event.callerId = facts.id;
    event.host = std::string(exchange->request[http::field::host]);
    event.target = std::string(exchange->request.target());
    event.object = facts.object;
    event.patience = facts.patience;
    feedGate(shell, std::move(event));
}

/** Gives back the room that the body being read has taken. */
static void releaseBody(gate_shell& shell, caller_connection& caller)
{
    shell.bodyBytes -= caller.reservedBytes;
    caller.reservedBytes = 0;
}

/** Takes room for the body that follows the head; one without a length may be as large as is allowed. @return false when there is none. */
static bool reserveBody(gate_shell& shell, caller_connection& caller, const request_parser& parser, std::uint64_t most)
{
    const auto length = parser.content_length();
    const std::uint64_t bytes = parser.chunked() ? most : (length ? *length : 0);
    if (bytes > 0 && shell.bodyBytes + bytes > shell.room.bodyBytes)
        return false;
    caller.reservedBytes = bytes;
    shell.bodyBytes += bytes;
    return true;
}

/** Reads one request. @return the error, if it could not be read. */
static asio::awaitable<error_code> readRequest(gate_shell& shell, caller_connection& caller, request_parser& parser)
{
    const auto limits = limitsOf(shell);
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    caller.expires = shell.clock.now() + limits.idleTime + IdleMargin;
    if (caller.buffer.size() == 0) {
        co_await caller.socket.async_wait(tcp::socket::wait_read, token);
        if (error)
            co_return error;
    }
    caller.expires = shell.clock.now() + limits.headerTime;
    co_await http::async_read_header(caller.socket, caller.buffer, parser, token);
    if (error)
        co_return error;
    const bool room = reserveBody(shell, caller, parser, limits.bodyBytes) && shell.exchanges.size() < shell.room.requests;
    if (!room) {
        releaseBody(shell, caller);
        ++shell.counters.bodiesRefused;
        co_return http::make_error_code(http::error::buffer_overflow);
    }
    const bool asks = beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (asks && caller.queue.empty()) {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(caller.socket, asio::buffer(Continue), token);
    }
    caller.expires = shell.clock.now() + limits.idleTime;
    if (!error)
        co_await http::async_read(caller.socket, caller.buffer, parser, token);
    co_return error;
}

/** Reads requests until the connection ends. */
static asio::awaitable<void> readCaller(gate_shell& shell, caller_pointer caller)
{
    while (caller->socket.is_open()) {
        if (caller->queue.size() >= MostPipelined) {
            caller->expires = time_point::max();
            co_await awaitChange(*caller);
            continue;
        }
        request_parser parser;
        const auto error = co_await readRequest(shell, *caller, parser);
        caller->expires = time_point::max();
        releaseBody(shell, *caller);
        if (error && isEnd(error)) {
            const auto open = caller->queue;
            for (const auto& exchange : open) {
                feedGate(shell, caller_gone { exchange->id });
                if (exchange->relayed) // Its request has ended for the reducer; what is left of the answer has no reader.
                    cancelAttempt(*exchange->relayed);
            }
            closeCaller(*caller);
            break;
        }
        if (error) {
            ++shell.counters.badRequests;
            writeLine("bad_request", { { "reason", error.message() } }, shell.clock.now());
            caller->badStatus = statusOf(error);
            break;
        }
        if (caller->closing) // An earlier answer closes the connection: this request counts as not read.
            break;
        const bool last = !parser.get().keep_alive();
        startExchange(shell, caller, parser.release());
        notify(*caller);
        if (last)
            caller->closing = true;
    }
    caller->readerDone = true;
    notify(*caller);
}

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
        attempt.readUntil = std::max(attempt.command.deadline, shell.clock.now() + StreamSilence);
        if (attempt.body.empty())
            read = co_await readMore(attempt);
        if (!read)
            co_return false;
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
static asio::awaitable<bool> writeAnswer(gate_shell& shell, const caller_pointer& caller, gate_exchange& exchange)
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
static asio::awaitable<void> writeBadRequest(const caller_pointer& caller)
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
static asio::awaitable<void> closeGently(gate_shell& shell, caller_pointer caller)
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
    shell.bodyBytes -= exchange.request.body().size();
    shell.exchanges.erase(exchange.id);
}

/** Writes answers in the order of the requests. */
static asio::awaitable<void> writeCaller(gate_shell& shell, caller_pointer caller)
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
        notify(*caller);
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

static std::size_t openCallers(gate_shell& shell)
{
    auto& callers = shell.callers;
    if (callers.size() >= shell.room.callers)
        callers.erase(std::remove_if(callers.begin(), callers.end(), [](const auto& weak) { return weak.expired(); }), callers.end());
    return callers.size();
}

/** Makes room for a new caller: closes the connection that has been without a request for longest. @return false when all have one. */
static bool closeIdlest(gate_shell& shell)
{
    caller_pointer idlest;
    for (const auto& weak : shell.callers) {
        const auto caller = weak.lock();
        const bool idle = caller && caller->socket.is_open() && caller->queue.empty() && caller->buffer.size() == 0;
        if (idle && (!idlest || caller->expires < idlest->expires))
            idlest = caller;
    }
    if (!idlest)
        return false;
    ++shell.counters.callersClosed;
    closeCaller(*idlest);
    return true;
}

asio::awaitable<void> acceptCallers(gate_shell& shell)
{
    error_code error;
    auto& acceptor = *shell.callerAcceptor;
    while (acceptor.is_open()) {
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!acceptor.is_open())
            co_return;
        if (error) {
            co_await pauseFor(milliseconds(20)); // Out of descriptors, most likely: connections that end free some.
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        if (openCallers(shell) >= shell.room.callers && !closeIdlest(shell)) {
            writeLine("caller_rejected", { { "callers", std::to_string(shell.callers.size()) } }, shell.clock.now());
            continue;
        }
        auto caller = std::make_shared<caller_connection>(std::move(socket), shell.context.get_executor());
        caller->expires = time_point::max();
        shell.callers.push_back(caller);
        asio::co_spawn(shell.context, readCaller(shell, caller), asio::detached);
        asio::co_spawn(shell.context, writeCaller(shell, caller), asio::detached);
    }
}

/** Ends what stands still: a silent caller, one that takes nothing of its answer, an answer that does not go on. */
static void sweepCaller(gate_shell& shell, caller_connection& caller, time_point now)
{
    if (caller.queue.empty()) {
        if (now >= caller.expires)
            closeCaller(caller);
        return;
    }
    if (now >= caller.writeUntil) {
        ++shell.counters.callersStuck;
        writeLine("caller_stuck", { { "id", caller.queue.front()->callerId } }, now);
        resetCaller(caller);
        return;
    }
    const auto relayed = caller.queue.front()->relayed;
    if (relayed && now >= relayed->readUntil)
        cancelAttempt(*relayed);
}

void sweepCallers(gate_shell& shell)
{
    const auto now = shell.clock.now();
    auto& callers = shell.callers;
    for (const auto& weak : callers) {
        const auto caller = weak.lock();
        if (caller && caller->socket.is_open())
            sweepCaller(shell, *caller, now);
    }
    callers.erase(std::remove_if(callers.begin(), callers.end(), [](const auto& weak) { return weak.expired(); }), callers.end());
}

} // namespace lhub
