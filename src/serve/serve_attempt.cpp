/** @file serve_attempt.cpp One attempt at an endpoint: connects, sends the request, reads and checks the response. */
#include "idle_connection/idle_connection_func.h"
#include "net/http_func.h"
#include "net/response_head_func.h"
#include "serve/serve_func.h"
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lhub {

/** Maximum number of responses to other requests that an attempt skips; one more makes it fail. */
static constexpr int MaxStrayResponses = 2;
/** Maximum number of body bytes of a response to another request that an attempt skips; more make it fail. */
static constexpr std::size_t MaxStrayBytes = 1'048'576;
/** An orphaned attempt is cancelled this long after its deadline; endpoints stop work at the deadline. */
static constexpr milliseconds OrphanGrace { 1000 };
/** An idle connection is kept this much shorter than the endpoint announces, to allow for its clock and the network delay. */
static constexpr milliseconds KeepAliveMargin { 1500 };
/** How long an idle connection is kept when the endpoint announces no time. */
static constexpr milliseconds DefaultKeepAlive { 3000 };
/** TCP_USER_TIMEOUT: data that stays unacknowledged for so long ends the connection; leaves time for a few retransmissions. */
static constexpr int TcpUserTimeoutMs = 3000;
/** Added to the usual round trip, to allow for queues on the links. */
static constexpr milliseconds RoundTripJitter { 15 };
/** Most idle connections kept per endpoint. */
static constexpr std::size_t MaxIdlePerAddress = 8;

/** Whether an idle connection can be reused: it is open, and nothing has arrived on it. */
static bool hasNoPendingInput(endpoint_connection& connection)
{
    char byte = 0;
    const auto got = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/** Takes an idle connection that was idle for at most @p maxIdle; null when there is none. */
static std::shared_ptr<endpoint_connection> takeIdleConnection(gate_shell& shell, const std::string& address, milliseconds maxIdle)
{
    const auto found = shell.idleConnections.find(address);
    if (found == shell.idleConnections.end())
        return nullptr;
    const auto now = shell.clock.now();
    auto& kept = found->second;
    while (!kept.empty()) {
        auto connection = std::move(kept.back());
        kept.pop_back();
        --shell.idleConnectionCount;
        const auto idleBeforeUse = elapsed(connection->idleSince, now);
        if (now >= connection->reuseUntil || idleBeforeUse > maxIdle || !hasNoPendingInput(*connection))
            continue;
        connection->idleBeforeUse = idleBeforeUse;
        return connection;
    }
    return nullptr;
}

/** Connects to the endpoint of an attempt within its connect time; null, with @p reason, on failure. */
static asio::awaitable<std::shared_ptr<endpoint_connection>> connectTo(
    gate_shell& shell, gate_attempt& attempt, std::string& reason)
{
    const auto endpoint = parseAddress(attempt.command.address);
    if (!endpoint) {
        reason = endpoint.reason;
        co_return nullptr;
    }
    ++shell.counters.connectionsOpened;
    struct pending_connect {
        tcp::socket socket; ///< Closed by the timer when the connect takes too long.
        bool timedOut = false; ///< The timer has closed the socket.
    };
    // Shared: the timer may have expired already when the connection succeeds, and its handler runs after this function.
    const auto state = std::make_shared<pending_connect>(pending_connect { tcp::socket(shell.context) });
    asio::steady_timer timer(shell.context, attempt.command.connectTimeout);
    timer.async_wait([state](const error_code& error) {
        if (error)
            return;
        state->timedOut = true;
        error_code ignored; // Closing only has to end the connect below.
        state->socket.close(ignored);
    });
    const auto startedAt = shell.clock.now();
    error_code error;
    co_await state->socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    timer.cancel();
    if (state->timedOut || error) {
        attempt.connectTimedOut = state->timedOut;
        reason = state->timedOut ? "connect timed out" : "connect failed: " + error.message();
        co_return nullptr;
    }
    attempt.connectTook = shell.clock.now() - startedAt;
    auto socket = std::move(state->socket);
    socket.set_option(tcp::no_delay(true), error);
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMs, sizeof TcpUserTimeoutMs);
    auto connection = std::make_shared<endpoint_connection>(std::move(socket));
    connection->address = attempt.command.address;
    co_return connection;
}

/** A request to an endpoint; its body is that of the exchange, which must be kept alive. */
using endpoint_request = http::request<http::span_body<const char>>;

/** Makes the request for the endpoint: the caller's without hop-by-hop fields, with the platform's headers for endpoints. */
static endpoint_request makeEndpointRequest(const gate_exchange& exchange, const gate_attempt& attempt, time_point now)
{
    endpoint_request result;
    result.method_string(exchange.request.method_string());
    result.target(exchange.request.target());
    result.version(11);
    http::token_list connectionOptions(exchange.request[http::field::connection]);
    for (const auto& field : exchange.request) {
        const bool isConnectionOption = connectionOptions.exists(field.name_string());
        if (!isHopByHop(field.name()) && field.name() != http::field::content_length && !isConnectionOption)
            result.insert(field.name(), field.name_string(), field.value());
    }
    platform::addEndpointHeaders(result, attempt.command.endpoint, elapsed(now, attempt.command.deadline));
    if (attempt.command.customer)
        platform::setCustomer(result, *attempt.command.customer);
    result.body() = { exchange.request.body().data(), exchange.request.body().size() };
    const bool hadBody = exchange.request.has_content_length() || exchange.request.chunked() || !result.body().empty();
    if (hadBody)
        result.content_length(result.body().size());
    return result;
}

/** Closes the connection of an attempt; writeRequest() fails then, if it is still writing. */
static void closeConnection(gate_attempt& attempt)
{
    if (!attempt.connection)
        return;
    error_code ignored; // Closing only has to end reads and writes that are pending.
    attempt.connection->socket.close(ignored);
    attempt.connection.reset();
}

/** Waits until writeRequest() has ended or the attempt is cancelled. */
static asio::awaitable<void> awaitWriteEnd(gate_shell& shell, gate_attempt& attempt)
{
    if (attempt.writeEnded || attempt.cancelled)
        co_return;
    attempt.writeEnd.emplace(shell.context, time_point::max());
    error_code woken; // Cancelling is the signal.
    co_await attempt.writeEnd->async_wait(asio::redirect_error(asio::use_awaitable, woken));
}

asio::awaitable<error_code> readBodyPart(gate_shell& shell, gate_attempt& attempt)
{
    if (attempt.parser->is_done())
        co_return error_code {};
    const auto oldSize = attempt.body.size();
    attempt.body.resize(oldSize + RelayBufferBytes);
    auto& body = attempt.parser->get().body();
    body.data = attempt.body.data() + oldSize;
    body.size = RelayBufferBytes;
    body.more = true;
    // async_read_some() reads no more than the capacity of the buffer, 512 bytes at first.
    attempt.connection->buffer.reserve(RelayBufferBytes);
    ++shell.counters.bodyReads;
    error_code error;
    co_await http::async_read_some(attempt.connection->socket, attempt.connection->buffer, *attempt.parser,
        asio::redirect_error(asio::use_awaitable, error));
    attempt.body.resize(oldSize + RelayBufferBytes - body.size);
    if (error == http::error::need_buffer)
        error = {};
    const bool endedByConnection = !error && attempt.parser->is_done() && attempt.parser->need_eof();
    // The header section of a refusal is proof enough, and the next attempt need not wait for the write.
    if (!endedByConnection || attempt.facts.notRun)
        co_return error;
    // After a reset, a write that fails consumes the error of the socket, and the read sees an orderly end.
    co_await awaitWriteEnd(shell, attempt);
    if (!attempt.requestWritten)
        error = response_fault::RequestUnwritten;
    co_return error;
}

/** Reads the rest of a response to another request and discards it. @return false when it broke off or was too long. */
static asio::awaitable<bool> discardBody(gate_shell& shell, gate_attempt& attempt)
{
    std::size_t skipped = 0;
    while (!attempt.parser->is_done()) {
        const auto error = co_await readBodyPart(shell, attempt);
        skipped += attempt.body.size();
        attempt.body.clear();
        if (error || skipped > MaxStrayBytes)
            co_return false;
    }
    co_return true;
}

/** Reads the header section of the response to this request; responses to other requests are discarded. @return false, with @p reason, on failure. */
static asio::awaitable<bool> readMatchingHeader(gate_shell& shell, gate_attempt& attempt, const gate_exchange& exchange, std::string& reason)
{
    const bool headRequest = exchange.request.method() == http::verb::head;
    // A refusal without a request id must belong to this request if the connection has carried no other one.
    const bool firstUse = !attempt.connection->idleBeforeUse;
    for (int stray = 0; stray <= MaxStrayResponses; ++stray) {
        const auto error = co_await readFinalResponseHead(attempt.connection->socket, attempt.connection->buffer, attempt.parser, response_head_options { headRequest });
        if (error) {
            reason = "reading the response header failed: " + error.message();
            co_return false;
        }
        attempt.facts = platform::decodeEndpointHeaders(attempt.parser->get(), attempt.parser->get().result_int());
        attempt.header = std::move(attempt.parser->get().base());
        const bool matches = attempt.facts.id == exchange.callerRequestId || (attempt.facts.id.empty() && attempt.facts.notRun && firstUse && stray == 0);
        attempt.matched = matches;
        if (matches)
            co_return true;
        const bool skipped = co_await discardBody(shell, attempt);
        if (!skipped)
            break;
    }
    reason = "response belongs to another request";
    co_return false;
}

/** Reads the header section of the response, and its body or the first part of a large one. @param reason set unless the outcome is Whole. */
static asio::awaitable<dispatch_outcome> readResponse(gate_shell& shell, gate_attempt& attempt, const gate_exchange& exchange, std::string& reason)
{
    const bool headerRead = co_await readMatchingHeader(shell, attempt, exchange, reason);
    if (!headerRead)
        co_return dispatch_outcome::NoResponse;
    if (!attempt.facts.notRun && hasUnrequestedCoding(attempt.header, exchange.request)) {
        reason = error_code(response_fault::ContentCoding).message();
        closeConnection(attempt);
        co_return dispatch_outcome::NoResponse;
    }
    while (!attempt.parser->is_done() && attempt.body.size() < MaxBufferedResponseBytes) {
        const auto error = co_await readBodyPart(shell, attempt);
        if (error) {
            reason = "response body broke off: " + error.message();
            co_return dispatch_outcome::Truncated;
        }
    }
    const auto status = attempt.header.result_int();
    if (attempt.facts.notRun) {
        reason = "refused with status " + std::to_string(status);
        co_return dispatch_outcome::Shed;
    }
    // These statuses tell the caller that the request did not run. Without proof from the endpoint they must not be relayed.
    const bool impliesNotRun = status == 429 || status == 503 || status == 408 || status == 421;
    if (impliesNotRun || (status < 300 && !attempt.facts.fromEndpoint)) {
        reason = "response without proof from the endpoint, status " + std::to_string(status);
        co_return dispatch_outcome::NoResponse;
    }
    co_return dispatch_outcome::Whole;
}

/** Whether the endpoint had probably closed a reused connection before the request arrived: it ended within a round trip, and no byte came back. */
static bool isStaleConnection(const gate_attempt& attempt, time_point now)
{
    if (elapsed(attempt.requestStartedAt, now) > attempt.command.roundTrip + RoundTripJitter)
        return false;
    const bool silent = attempt.parser && !attempt.parser->got_some() && attempt.connection && attempt.connection->buffer.size() == 0;
    return silent && attempt.connection->idleBeforeUse;
}

/** Tells the reducer how an attempt ended, and records stale connections and responses, which decide how long idle connections are reused. */
static void reportEnd(gate_shell& shell, gate_attempt& attempt, dispatch_outcome outcome, std::string reason)
{
    attempt.endReported = true;
    attempt_ended event;
    event.request = attempt.command.request;
    event.attempt = attempt.command.attempt;
    event.outcome = attempt.cancelled ? dispatch_outcome::CallerGone : outcome;
    if (attempt.parser && attempt.parser->is_header_done())
        event.status = attempt.parser->get().result_int();
    event.misdirected = attempt.facts.misdirected;
    event.loadReported = attempt.facts.loadReported;
    event.running = attempt.facts.running;
    event.waiting = attempt.facts.waiting;
    event.slots = attempt.facts.slots;
    event.workFactor = attempt.facts.workFactor;
    event.coldLeft = attempt.facts.coldLeft;
    if (attempt.matched && !attempt.facts.misdirected)
        event.report = attempt.facts.report;
    event.connectTook = attempt.connectTook;
    event.connectTimedOut = attempt.connectTimedOut;
    event.staleConnection = event.outcome == dispatch_outcome::NoResponse && isStaleConnection(attempt, shell.clock.now());
    if (event.staleConnection) {
        ++shell.counters.staleConnections;
        recordStaleConnection(shell.connectionReuse, attempt.command.address, *attempt.connection->idleBeforeUse, shell.clock.now());
    }
    if (event.status != 0)
        recordLiveConnection(shell.connectionReuse, attempt.command.address, shell.clock.now());
    event.reason = std::move(reason);
    processEvent(shell, std::move(event));
}

/** Writes the request while readResponse() runs: an endpoint may respond before it has read a long body. @param exchange owns the body. */
static asio::awaitable<void> writeRequest(
    std::shared_ptr<gate_attempt> attempt, std::shared_ptr<endpoint_connection> connection, endpoint_request request, [[maybe_unused]] std::shared_ptr<gate_exchange> exchange)
{
    error_code error;
    co_await http::async_write(connection->socket, request, asio::redirect_error(asio::use_awaitable, error));
    // No error handling: reading the response fails as well, or readBodyPart() looks at requestWritten.
    attempt->requestWritten = !error;
    attempt->writeEnded = true;
    if (attempt->writeEnd)
        attempt->writeEnd->cancel();
}

/** Ends the request if its caller has disconnected while the attempt was prepared. @return whether it has. */
static bool cancelIfCallerGone(gate_shell& shell, const gate_exchange& exchange)
{
    const auto caller = exchange.caller.lock();
    if (caller && caller->socket.is_open() && !hasDisconnected(*caller))
        return false;
    processEvent(shell, caller_gone { exchange.id });
    return true;
}

asio::awaitable<void> runAttempt(gate_shell& shell, std::shared_ptr<gate_attempt> attempt)
{
    const auto exchange = attempt->exchange.lock();
    if (!exchange || attempt->cancelled) {
        reportEnd(shell, *attempt, dispatch_outcome::ConnectFailed, "not sent");
        co_return;
    }
    attempt->connection = takeIdleConnection(shell, attempt->command.address, maxIdleTime(shell.connectionReuse, attempt->command.repeatable, shell.clock.now()));
    std::string reason;
    if (!attempt->connection) {
        auto connection = co_await connectTo(shell, *attempt, reason);
        if (!connection || attempt->cancelled) {
            reportEnd(shell, *attempt, dispatch_outcome::ConnectFailed, reason);
            co_return;
        }
        attempt->connection = std::move(connection);
        const bool callerGone = cancelIfCallerGone(shell, *exchange);
        if (callerGone) {
            reportEnd(shell, *attempt, dispatch_outcome::CallerGone, "the caller disconnected before the request was sent");
            co_return;
        }
    }
    attempt->requestStartedAt = shell.clock.now();
    spawn(shell, "write_request", writeRequest(attempt, attempt->connection, makeEndpointRequest(*exchange, *attempt, shell.clock.now()), exchange));
    const auto outcome = co_await readResponse(shell, *attempt, *exchange, reason);
    reportEnd(shell, *attempt, outcome, std::move(reason));
    const bool whole = attempt->parser && attempt->parser->is_done();
    if (whole && !attempt->cancelled)
        releaseConnection(shell, *attempt);
    else if (outcome != dispatch_outcome::Whole || attempt->cancelled)
        closeConnection(*attempt);
}

void sweepOrphanedAttempts(gate_shell& shell)
{
    const auto now = shell.clock.now();
    std::erase_if(shell.orphanedAttempts, [&](const auto& attempt) {
        if (!attempt->endReported && now < attempt->command.deadline + OrphanGrace)
            return false;
        if (!attempt->endReported)
            cancelAttempt(*attempt);
        return true;
    });
}

void cancelAttempt(gate_attempt& attempt)
{
    attempt.cancelled = true;
    if (attempt.writeEnd)
        attempt.writeEnd->cancel();
    if (!attempt.connection)
        return;
    error_code ignored; // Closing only has to end the reads and writes of the attempt.
    attempt.connection->socket.close(ignored);
}

/** How long an idle connection may be kept, from the timeout in the Keep-Alive field; zero or negative when that is too short. */
static milliseconds keepAliveTime(const http::response_header<>& header)
{
    const std::string text(header[http::field::keep_alive]);
    const auto at = text.find("timeout=");
    if (at == std::string::npos)
        return DefaultKeepAlive;
    return seconds(std::strtol(text.c_str() + at + 8, nullptr, 10)) - KeepAliveMargin;
}

void releaseConnection(gate_shell& shell, gate_attempt& attempt)
{
    const auto connection = attempt.connection;
    if (!connection)
        return;
    const bool kept = attempt.requestWritten && attempt.parser->is_done() && attempt.parser->keep_alive();
    const auto keepFor = keepAliveTime(attempt.header);
    // Bytes after a complete response belong to no request; a connection with such bytes is not reused.
    if (!kept || connection->buffer.size() > 0 || keepFor.count() <= 0 || shell.idleConnectionCount >= shell.resourceLimits.idleConnections) {
        closeConnection(attempt);
        return;
    }
    attempt.connection.reset();
    connection->buffer = beast::flat_buffer { MaxUnparsedBytes };
    connection->idleSince = shell.clock.now();
    connection->reuseUntil = connection->idleSince + keepFor;
    auto& others = shell.idleConnections[connection->address];
    if (others.size() >= MaxIdlePerAddress)
        return;
    others.push_back(connection);
    ++shell.idleConnectionCount;
}

void closeIdleConnections(gate_shell& shell, const std::string& address)
{
    const auto found = shell.idleConnections.find(address);
    if (found == shell.idleConnections.end())
        return;
    shell.idleConnectionCount -= found->second.size();
    shell.idleConnections.erase(found);
}

void sweepIdleConnections(gate_shell& shell)
{
    const auto now = shell.clock.now();
    for (auto at = shell.idleConnections.begin(); at != shell.idleConnections.end();) {
        auto& kept = at->second;
        const auto expired = std::remove_if(kept.begin(), kept.end(), [&](const auto& connection) { return now >= connection->reuseUntil; });
        shell.idleConnectionCount -= static_cast<std::size_t>(kept.end() - expired);
        kept.erase(expired, kept.end());
        at = kept.empty() ? shell.idleConnections.erase(at) : std::next(at);
    }
}

} // namespace lhub
