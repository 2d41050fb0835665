/** @file serve_caller.cpp Connections of callers: accepting, reading requests, and time-outs. */
#include "net/http_func.h"
#include "serve/serve_func.h"
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace lhub {

/** Most open requests per connection; no further one is read until one of them is answered. */
static constexpr std::size_t MaxPipelinedRequests = 16;
/** Size of one read of a request body. */
static constexpr std::size_t BodyReadBytes = 16'384;
/** Added to the announced idle time, so that a request sent at its very end is not cut off. */
static constexpr milliseconds IdleMargin { 3000 };
/** Time after a connection was accepted within which its first request is expected; it is not idle before. */
static constexpr milliseconds FirstRequestTime { 500 };

/** Pipelined bodies of one connection may hold the limit on body bytes divided by this number, so that one caller leaves room for others.
 *  A single body may take all of it. */
static constexpr std::uint64_t ConnectionBodyDivisor = 4;

using request_parser = http::request_parser<http::string_body>;
using caller_pointer = std::shared_ptr<caller_connection>;

caller_limits callerLimits(const gate_shell& shell)
{
    return shell.state.routes ? shell.state.routes->config.limits : caller_limits {};
}

void closeCaller(caller_connection& caller)
{
    error_code ignored; // The connection is over in any case.
    caller.socket.close(ignored);
    caller.changed.cancel();
}

void resetCaller(caller_connection& caller)
{
    error_code ignored; // If setting the option fails, the connection is still closed, only without a reset.
    caller.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    closeCaller(caller);
}

asio::awaitable<void> awaitChange(caller_connection& caller)
{
    error_code cancelled; // signalChange() cancels the wait.
    co_await caller.changed.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

void signalChange(caller_connection& caller) { caller.changed.cancel(); }

/** How reading a request ended; success when neither member is set. */
struct read_result {
    error_code error; ///< Of the connection or the parser.
    bool overCapacity = false; ///< Not all of it was read, since a limit on open requests or body bytes is reached.
};

/** The HTTP status for a request that could not be read. */
static unsigned rejectStatusOf(const read_result& result)
{
    const auto& error = result.error;
    if (result.overCapacity)
        return static_cast<unsigned>(http::status::service_unavailable);
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    return 400;
}

/** Whether an error means that the connection ended; otherwise the request is malformed or too large. */
static bool isConnectionEnd(const error_code& error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() != http::make_error_code(http::error::end_of_stream).category();
}

/** Opens an exchange for a request and hands the request to the reducer. */
static void startExchange(gate_shell& shell, const caller_pointer& caller, http::request<http::string_body> request)
{
    auto exchange = std::make_shared<gate_exchange>();
    exchange->id = ++shell.lastExchangeId;
    exchange->request = std::move(request);
    exchange->reservation = std::move(caller->reservation);
    exchange->arrivedAt = shell.clock.now();
    const auto facts = platform::decodeCallerHeaders(exchange->request);
    exchange->callerRequestId = facts.id;
    exchange->caller = caller;
    ++shell.counters.requests;
    shell.exchanges[exchange->id] = exchange;
    caller->queue.push_back(exchange);
    request_received event;
    event.id = exchange->id;
    event.callerRequestId = facts.id;
    event.host = std::string(exchange->request[http::field::host]);
    event.target = std::string(exchange->request.target());
    event.object = facts.object;
    event.callerTimeout = facts.callerTimeout;
    event.key = facts.key;
    event.bodyBytes = exchange->request.body().size();
    processEvent(shell, std::move(event));
}

bool hasDisconnected(caller_connection& caller)
{
    char byte = 0;
    const auto got = ::recv(caller.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/** Ends the open requests of a caller that has disconnected, and closes its connection. */
static void abortCaller(gate_shell& shell, caller_connection& caller)
{
    const auto open = caller.queue;
    for (const auto& exchange : open) {
        processEvent(shell, caller_gone { exchange->id });
        if (exchange->relayedAttempt) // The reducer has finished this request and will not cancel it; nobody reads the rest of the response.
            cancelAttempt(*exchange->relayedAttempt);
    }
    closeCaller(caller);
}

/** Bytes of the bodies of the open requests of a connection. */
static std::uint64_t queuedBodyBytes(const caller_connection& caller)
{
    std::uint64_t bytes = 0;
    for (const auto& exchange : caller.queue)
        bytes += exchange->reservation ? exchange->reservation->bytes : 0;
    return bytes;
}

/**
 * Raises the reservation for the body being read to @p bytes. Waits while the bodies of earlier requests of the connection take the room.
 * @return false when that would exceed the limit of the VM.
 */
static asio::awaitable<bool> reserveBodyBytes(gate_shell& shell, caller_connection& caller, std::uint64_t bytes)
{
    const auto& limit = shell.resourceLimits.bodyBytes;
    while (queuedBodyBytes(caller) > 0 && queuedBodyBytes(caller) + bytes > limit / ConnectionBodyDivisor && caller.socket.is_open()) {
        co_await awaitChange(caller);
        caller.readTimeoutAt = shell.clock.now() + callerLimits(shell).idleTimeout;
    }
    const auto more = bytes - caller.reservation->bytes;
    if (shell.bodyBytes + more > limit)
        co_return false;
    caller.reservation->bytes += more;
    *shell.heldBodyBytes += more;
    co_return true;
}

/** Reads a chunked body, and reserves what has arrived after each part: the parser holds one part more at most. */
static asio::awaitable<read_result> readChunkedBody(gate_shell& shell, caller_connection& caller, request_parser& parser)
{
    parser.eager(false); // An eager read returns only when the next chunk header is complete; a caller could let it take any number of chunks uncounted.
    error_code error;
    while (!parser.is_done()) {
        co_await http::async_read_some(caller.socket, caller.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        const auto arrived = parser.get().body().size();
        if (arrived == caller.reservation->bytes)
            continue;
        const bool hasRoom = co_await reserveBodyBytes(shell, caller, arrived);
        if (!hasRoom)
            co_return read_result { {}, true };
    }
    co_return read_result { error };
}

/** Reads one request, and keeps the time-outs of the connection up to date. */
static asio::awaitable<read_result> readRequest(gate_shell& shell, caller_connection& caller, request_parser& parser)
{
    const auto limits = callerLimits(shell);
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    caller.buffer.max_size(limits.maxHeaderBytes + MaxUnparsedBytes);
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    caller.readTimeoutAt = shell.clock.now() + limits.idleTimeout + IdleMargin;
    if (caller.buffer.size() == 0) {
        co_await caller.socket.async_wait(tcp::socket::wait_read, token);
        if (error)
            co_return read_result { error };
    }
    caller.readTimeoutAt = shell.clock.now() + limits.headerTimeout;
    co_await http::async_read_header(caller.socket, caller.buffer, parser, token);
    if (error)
        co_return read_result { error };
    if (shell.exchanges.size() >= shell.resourceLimits.openRequests)
        co_return read_result { {}, true };
    const auto length = parser.chunked() ? 0 : parser.content_length().value_or(0);
    const bool hasBody = parser.chunked() || length > 0;
    if (hasBody) {
        caller.reservation = std::make_unique<body_reservation>(shell.heldBodyBytes);
        const bool hasRoom = co_await reserveBodyBytes(shell, caller, length);
        if (!hasRoom)
            co_return read_result { {}, true };
        if (parser.chunked() || length > caller.buffer.size())
            caller.buffer.reserve(BodyReadBytes); // Reads are as large as the buffer, 512 bytes at first.
    }
    const bool expectsContinue = beast::iequals(parser.get()[http::field::expect], "100-continue");
    if (expectsContinue && caller.queue.empty()) {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(caller.socket, asio::buffer(Continue), token);
    }
    caller.readTimeoutAt = shell.clock.now() + limits.idleTimeout;
    read_result result { error };
    if (!error && parser.chunked()) {
        result = co_await readChunkedBody(shell, caller, parser);
    } else if (!error) {
        co_await http::async_read(caller.socket, caller.buffer, parser, token);
        result.error = error;
    }
    if (caller.buffer.capacity() >= BodyReadBytes)
        caller.buffer.shrink_to_fit(); // An idle connection keeps little.
    co_return result;
}

/** Reads requests until the connection ends, or one of them cannot be read or is the last one. */
static asio::awaitable<void> readRequests(gate_shell& shell, caller_pointer caller)
{
    while (caller->socket.is_open()) {
        if (caller->queue.size() >= MaxPipelinedRequests) {
            caller->readTimeoutAt = time_point::max();
            co_await awaitChange(*caller);
            continue;
        }
        request_parser parser;
        const auto read = co_await readRequest(shell, *caller, parser);
        const auto& error = read.error;
        caller->readTimeoutAt = time_point::max();
        if (error && isConnectionEnd(error)) {
            abortCaller(shell, *caller);
            break;
        }
        if (error || read.overCapacity) {
            ++(read.overCapacity ? shell.counters.requestsWithoutRoom : shell.counters.badRequests);
            logEvent("bad_request", { { "reason", read.overCapacity ? "limit on open requests or body bytes reached" : error.message() } }, shell.clock.now());
            caller->rejectStatus = rejectStatusOf(read);
            if (parser.is_header_done())
                caller->rejectedId = platform::decodeCallerHeaders(parser.get()).id;
            break;
        }
        if (caller->closing) // An earlier response ends the connection: this request is dropped unread.
            break;
        if (hasDisconnected(*caller)) { // A VM that is overloaded may read a request only after its caller has given up.
            ++shell.counters.callersLeftUnread;
            logEvent("caller_gone", { { "id", platform::decodeCallerHeaders(parser.get()).id }, { "attempts", "0" }, { "reason", "left before its request was read" } }, shell.clock.now());
            abortCaller(shell, *caller);
            break;
        }
        const bool last = !parser.get().keep_alive();
        startExchange(shell, caller, parser.release());
        signalChange(*caller);
        if (last)
            caller->closing = true;
    }
    caller->reservation.reset();
    caller->readerDone = true;
    signalChange(*caller);
}

/** Connections of callers; removes closed ones first when the limit is reached. */
static std::size_t countCallers(gate_shell& shell)
{
    auto& callers = shell.callers;
    if (callers.size() >= shell.resourceLimits.callerConnections)
        callers.erase(std::remove_if(callers.begin(), callers.end(), [](const auto& weak) { return weak.expired(); }), callers.end());
    return callers.size();
}

/** When an idle connection, or one whose last response is written, will be closed unless its caller does something. */
static time_point idleUntil(const caller_connection& caller) { return std::min(caller.readTimeoutAt, caller.lingerUntil); }

/** Closes the connection that has the least idle time left, to admit a new caller. @return false when none is idle. */
static bool evictLongestIdleCaller(gate_shell& shell)
{
    caller_pointer longestIdle;
    for (const auto& weak : shell.callers) {
        const auto caller = weak.lock();
        const bool open = caller && caller->socket.is_open() && caller->queue.empty();
        if (open && (!longestIdle || idleUntil(*caller) < idleUntil(*longestIdle)) && !isReceiving(*caller))
            longestIdle = caller;
    }
    if (!longestIdle)
        return false;
    ++shell.counters.idleCallersEvicted;
    closeCaller(*longestIdle);
    return true;
}

/** Starts to serve an accepted connection, or closes it when the limit on callers is reached. */
static void startCaller(gate_shell& shell, tcp::socket socket)
{
    error_code ignored; // Without the option, responses are only delayed.
    socket.set_option(tcp::no_delay(true), ignored);
    if (countCallers(shell) >= shell.resourceLimits.callerConnections && !evictLongestIdleCaller(shell)) {
        logEvent("caller_rejected", { { "callers", std::to_string(shell.callers.size()) } }, shell.clock.now());
        return;
    }
    auto caller = std::make_shared<caller_connection>(std::move(socket), shell.context.get_executor());
    caller->readTimeoutAt = time_point::max();
    caller->acceptedAt = shell.clock.now();
    shell.callers.push_back(caller);
    spawn(shell, "read_requests", readRequests(shell, caller));
    spawn(shell, "write_responses", writeResponses(shell, caller));
}

asio::awaitable<void> acceptCallers(gate_shell& shell)
{
    error_code error;
    auto& acceptor = *shell.callerAcceptor;
    while (acceptor.is_open()) {
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            startCaller(shell, std::move(socket));
        else if (acceptor.is_open())
            co_await pauseFor(milliseconds(20)); // Most likely out of file descriptors; wait for other connections to close.
    }
}

void acceptPendingAndClose(gate_shell& shell)
{
    auto& acceptor = *shell.callerAcceptor;
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(shell.context);
        acceptor.accept(socket, error);
        if (!error)
            startCaller(shell, std::move(socket));
    }
    acceptor.close(error);
}

std::size_t openCallers(gate_shell& shell)
{
    return static_cast<std::size_t>(std::count_if(shell.callers.begin(), shell.callers.end(), [](const auto& weak) {
        const auto caller = weak.lock();
        return caller && caller->socket.is_open();
    }));
}

bool isReceiving(caller_connection& caller)
{
    if (caller.buffer.size() > 0 || caller.reservation)
        return true;
    char byte = 0;
    return ::recv(caller.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void endIdleCallers(gate_shell& shell, bool evenReceiving)
{
    const auto now = shell.clock.now();
    for (const auto& weak : shell.callers) {
        const auto caller = weak.lock();
        if (!caller || !caller->socket.is_open() || !caller->queue.empty() || caller->closing || caller->readerDone)
            continue;
        if (evenReceiving || (now >= caller->acceptedAt + FirstRequestTime && !isReceiving(*caller))) {
            ++shell.counters.idleCallersEnded;
            caller->closing = true;
            caller->rejectStatus = static_cast<unsigned>(http::status::request_timeout);
            signalChange(*caller);
        }
    }
}

/** Whether bytes that were written to the connection have not been acknowledged yet. */
static bool hasUnsentBytes(caller_connection& caller)
{
    int bytes = 0;
    return ::ioctl(caller.socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/** Whether a connection is over that is only kept for its caller to read the last response. */
static bool hasLingered(const gate_shell& shell, caller_connection& caller, time_point now)
{
    return now >= caller.lingerUntil && (!hasUnsentBytes(caller) || now - caller.lingerUntil >= callerLimits(shell).idleTimeout);
}

/** Applies the time-outs of one connection: a silent caller, one that does not read its response, a response body that has stalled. */
static void sweepCaller(gate_shell& shell, caller_connection& caller, time_point now)
{
    if (caller.queue.empty()) {
        if (now >= caller.readTimeoutAt || hasLingered(shell, caller, now))
            closeCaller(caller);
        return;
    }
    if (now >= caller.writeTimeoutAt) {
        ++shell.counters.callersStuck;
        logEvent("caller_stuck", { { "id", caller.queue.front()->callerRequestId } }, now);
        resetCaller(caller);
        return;
    }
    const auto relayed = caller.queue.front()->relayedAttempt;
    if (relayed && now >= relayed->bodyTimeoutAt)
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
