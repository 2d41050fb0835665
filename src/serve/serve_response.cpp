/** @file serve_response.cpp Writes responses to callers, in the order of their requests. */
#include "net/http_func.h"
#include "serve/serve_func.h"

namespace lhub {

/** Longest wait for more of a response body after the request's deadline; allows for a few retransmissions between regions. */
static constexpr milliseconds BodyStallTimeout { 1000 };
/** Retry-After of a request refused at the limit on open requests or body bytes; about as long as a request body is held. */
static constexpr milliseconds OverCapacityRetryAfter { 500 };

/** How long a connection is read after its last response and after the last bytes of its caller, for the caller to close it. */
static constexpr milliseconds LingerTime { 1000 };
/** Bytes that are read and discarded then, in addition to caller_limits::maxBodyBytes: header sections of requests, and the framing of chunks. */
static constexpr std::uint64_t DiscardMargin = 1'000'000;

/** Makes the response of this VM itself, with a problem document as its body. */
static http_response makeLocalResponse(const gate_exchange& exchange, const send_response& answer)
{
    auto response = makeProblem(static_cast<http::status>(answer.status), std::string(answer.reason), "");
    if (answer.retryAfter.count() > 0)
        platform::addRetryAfter(response, answer.retryAfter);
    platform::addRequestId(response, exchange.callerRequestId);
    return response;
}

/** Counts the request in the latency histogram of its route, if it still has one. */
static void recordLatency(gate_shell& shell, const gate_exchange& exchange)
{
    const auto tookMs = elapsed(exchange.arrivedAt, shell.clock.now()).count();
    std::size_t bucket = 0;
    while (bucket < LatencyBoundsMs.size() && tookMs > LatencyBoundsMs[bucket])
        ++bucket;
    const auto* route = shell.state.routes ? findRoute(*shell.state.routes, std::string_view(exchange.request[http::field::host]), std::string_view(exchange.request.target())) : nullptr;
    if (route)
        ++shell.latencyByRoute[route->name][bucket];
}

/** Makes a response with the status and the end-to-end header fields of the endpoint's. @param close whether the connection to the caller ends with it. */
template <typename Body>
static http::response<Body> makeRelayedResponse(const gate_attempt& attempt, const gate_exchange& exchange, bool close)
{
    const auto& source = attempt.header;
    http::response<Body> response;
    response.result(source.result_int());
    response.reason(source.reason());
    response.version(exchange.request.version());
    http::token_list connectionOptions(source[http::field::connection]);
    for (const auto& field : source) {
        if (!isHopByHop(field.name()) && !connectionOptions.exists(field.name_string()))
            response.insert(field.name(), field.name_string(), field.value());
    }
    response.keep_alive(!close);
    return response;
}

/** Writes a response that is buffered completely. @return false when the write failed. */
static asio::awaitable<bool> relayBuffered(caller_connection& caller, gate_exchange& exchange, bool close)
{
    auto& attempt = *exchange.relayedAttempt;
    auto response = makeRelayedResponse<http::string_body>(attempt, exchange, close);
    response.body() = std::move(attempt.body);
    // A response to HEAD carries the Content-Length of the body that is left out.
    if (exchange.request.method() != http::verb::head)
        response.prepare_payload();
    error_code error;
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write(caller.socket, serializer, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

/** Writes a response while its body is still being read. @return false when it ended early; the caller must see that. */
static asio::awaitable<bool> relayStreaming(gate_shell& shell, caller_connection& caller, gate_exchange& exchange, bool close)
{
    const auto idleTimeout = callerLimits(shell).idleTimeout;
    auto& attempt = *exchange.relayedAttempt;
    auto response = makeRelayedResponse<http::buffer_body>(attempt, exchange, close);
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
        caller.writeTimeoutAt = time_point::max();
        // The second bound ends a body that never stops, even if bytes keep coming.
        attempt.bodyTimeoutAt = std::min(std::max(attempt.command.deadline, shell.clock.now() + BodyStallTimeout), attempt.command.deadline + idleTimeout);
        if (attempt.body.empty())
            error = co_await readBodyPart(shell, attempt);
        if (error)
            co_return false;
        attempt.bodyTimeoutAt = time_point::max();
        caller.writeTimeoutAt = shell.clock.now() + idleTimeout;
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

/**
 * Whether the connection ends with this request and those that were read already after it. In a stop it ends once no pipelined request
 * waits to be read, since its caller would have to send again what is behind the last response.
 */
static bool isLastRequest(const gate_shell& shell, caller_connection& caller, const gate_exchange& exchange)
{
    if (!exchange.request.keep_alive())
        return true;
    return shell.stopping && (!shell.callerAcceptor->is_open() || (caller.queue.size() == 1 && !isReceiving(caller)));
}

/** Writes the response of one exchange. @return false when the connection cannot be used for another response. */
static asio::awaitable<bool> writeResponse(gate_shell& shell, const std::shared_ptr<caller_connection>& caller, gate_exchange& exchange)
{
    caller->closing = caller->closing || isLastRequest(shell, *caller, exchange);
    caller->writeTimeoutAt = shell.clock.now() + callerLimits(shell).idleTimeout;
    const bool close = caller->closing && caller->queue.size() == 1;
    if (exchange.localResponse) {
        auto response = makeLocalResponse(exchange, *exchange.localResponse);
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
    const auto attempt = exchange.relayedAttempt;
    const bool buffered = attempt->parser->is_done();
    bool done = false;
    if (buffered)
        done = co_await relayBuffered(*caller, exchange, close);
    else
        done = co_await relayStreaming(shell, *caller, exchange, close);
    if (done && !buffered)
        releaseConnection(shell, *attempt);
    if (done) {
        ++shell.counters.relayed;
        recordLatency(shell, exchange);
        co_return !close;
    }
    ++shell.counters.cutShort;
    logEvent("relay_cut", { { "id", exchange.callerRequestId }, { "endpoint", attempt->command.endpoint } }, shell.clock.now());
    cancelAttempt(*attempt);
    resetCaller(*caller);
    co_return false;
}

/** Title of the error response for a request that was not read. */
static const char* rejectionTitle(unsigned status)
{
    switch (status) {
    case 503:
        return "no room for the request";
    case 408:
        return "the connection ends, no request was read";
    default:
        return "the request cannot be read";
    }
}

/** Writes the error response for a request that was not read. */
static asio::awaitable<void> writeRejection(const std::shared_ptr<caller_connection>& caller)
{
    const bool overCapacity = caller->rejectStatus == 503;
    auto response = makeProblem(static_cast<http::status>(caller->rejectStatus), rejectionTitle(caller->rejectStatus), overCapacity ? "it was not run" : "");
    if (overCapacity)
        platform::addRetryAfter(response, OverCapacityRetryAfter);
    platform::addRequestId(response, caller->rejectedId);
    response.keep_alive(false);
    response.prepare_payload();
    error_code error;
    co_await http::async_write(caller->socket, response, asio::redirect_error(asio::use_awaitable, error));
}

/** Closes a connection so that the caller can read the last response: closing with unread input would reset it. A caller that is still sending
 *  a body is read for the idle time at most; many read the response only after they have sent everything. */
static asio::awaitable<void> closeGracefully(gate_shell& shell, std::shared_ptr<caller_connection> caller)
{
    error_code error;
    caller->socket.shutdown(tcp::socket::shutdown_send, error);
    const auto limits = callerLimits(shell);
    const auto latest = shell.clock.now() + std::max<milliseconds>(LingerTime, limits.idleTimeout);
    caller->lingerUntil = shell.clock.now() + LingerTime;
    const auto discarded = std::make_unique<std::array<char, RelayBufferBytes>>();
    std::uint64_t total = 0;
    while (!error && total < limits.maxBodyBytes + DiscardMargin) {
        total += co_await caller->socket.async_read_some(asio::buffer(*discarded), asio::redirect_error(asio::use_awaitable, error));
        if (!shell.stopping)
            caller->lingerUntil = std::min(shell.clock.now() + LingerTime, latest);
    }
    closeCaller(*caller);
}

/** Removes an exchange; attempts that have not ended become orphaned. */
static void removeExchange(gate_shell& shell, const gate_exchange& exchange)
{
    for (const auto& [id, attempt] : exchange.attempts) {
        if (!attempt->endReported)
            shell.orphanedAttempts.push_back(attempt);
    }
    shell.exchanges.erase(exchange.id);
}

asio::awaitable<void> writeResponses(gate_shell& shell, std::shared_ptr<caller_connection> caller)
{
    bool keepOpen = true;
    while (keepOpen && caller->socket.is_open()) {
        if (caller->queue.empty() && caller->rejectStatus != 0) {
            co_await writeRejection(caller);
            break;
        }
        if (caller->queue.empty() && (caller->readerDone || caller->closing))
            break;
        if (caller->queue.empty() || !caller->queue.front()->hasResponse()) {
            co_await awaitChange(*caller);
            continue;
        }
        const auto exchange = caller->queue.front();
        keepOpen = co_await writeResponse(shell, caller, *exchange);
        caller->writeTimeoutAt = time_point::max();
        caller->queue.pop_front();
        exchange->relayedAttempt.reset();
        removeExchange(shell, *exchange);
        signalChange(*caller);
    }
    for (const auto& exchange : caller->queue) {
        processEvent(shell, caller_gone { exchange->id });
        if (exchange->relayedAttempt)
            cancelAttempt(*exchange->relayedAttempt);
        removeExchange(shell, *exchange);
    }
    caller->queue.clear();
    if (caller->socket.is_open())
        co_await closeGracefully(shell, caller);
}

} // namespace lhub
