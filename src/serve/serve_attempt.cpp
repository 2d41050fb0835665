/** @file serve_attempt.cpp One attempt at an endpoint: connect, send, read and check the answer. */
#include "net/http_func.h"
#include "reuse/reuse_func.h"
#include "serve/serve_func.h"
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lhub {

/** Answers of former requests that are skipped on one connection before it is given up. */
static constexpr int MostStrayAnswers = 2;
/** Provisional answers that are read past for one request; more are a malfunction. */
static constexpr int MostProvisionalAnswers = 8;
/** Bytes of a former request's answer that are skipped before the connection is given up. */
static constexpr std::size_t MostStrayBytes = 1'048'576;
/** Beyond its deadline, an attempt that nobody waits for is ended; endpoints stop work at the deadline. */
static constexpr milliseconds OrphanTime { 1000 };
/** Kept this much shorter than the endpoint announces, for its clock and the way there. */
static constexpr milliseconds KeepAliveMargin { 1500 };
/** Used when the endpoint announces nothing. */
static constexpr milliseconds DefaultKeepAlive { 3000 };
/** Unacknowledged data ends a connection after this; a few retransmissions. */
static constexpr int UserTimeoutMs = 3000;
/** Added to a round trip: queues on the links. */
static constexpr milliseconds RoundTripJitter { 15 };
/** Idle connections kept for one endpoint. */
static constexpr std::size_t MostIdlePerAddress = 8;

/** Whether a kept connection is still at the start of an answer: open, and nothing unasked has come. */
static bool isQuiet(endpoint_connection& connection)
{
    char byte = 0;
    const auto got = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static std::shared_ptr<endpoint_connection> takeIdle(gate_shell& shell, const std::string& address, milliseconds longest)
{
    const auto found = shell.idle.find(address);
    if (found == shell.idle.end())
        return nullptr;
    const auto now = shell.clock.now();
    auto& kept = found->second;
    while (!kept.empty()) {
        auto connection = std::move(kept.back());
        kept.pop_back();
        --shell.idleCount;
        const auto rested = elapsed(connection->idleSince, now);
        if (now >= connection->keepUntil || rested > longest || !isQuiet(*connection))
            continue;
        connection->rested = rested;
        return connection;
    }
    return nullptr;
}

static asio::awaitable<std::shared_ptr<endpoint_connection>> connectTo(
    gate_shell& shell, gate_attempt& attempt, std::string& reason)
{
    const auto endpoint = parseAddress(attempt.command.address);
    if (!endpoint) {
        reason = endpoint.reason;
        co_return nullptr;
    }
    ++shell.counters.connectionsOpened;
    struct connecting {
        tcp::socket socket; ///< Closed when time is up.
        bool late = false; ///< Time was up.
    };
    // Shared: the timer may have expired already when the connection succeeds, and its handler runs after this function.
    const auto state = std::make_shared<connecting>(connecting { tcp::socket(shell.context) });
    asio::steady_timer timer(shell.context, attempt.command.connectTime);
    timer.async_wait([state](const error_code& error) {
        if (error)
            return;
        state->late = true;
        error_code ignored; // Closing ends the connect below.
        state->socket.close(ignored);
    });
    error_code error;
    co_await state->socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    timer.cancel();
    if (state->late || error) {
        reason = state->late ? "connect timed out" : "connect: " + error.message();
        co_return nullptr;
    }
    auto socket = std::move(state->socket);
    socket.set_option(tcp::no_delay(true), error);
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs, sizeof UserTimeoutMs);
    auto connection = std::make_shared<endpoint_connection>(std::move(socket));
    connection->address = attempt.command.address;
    co_return connection;
}

/** The request as it goes to the endpoint. */
static http::request<http::string_body> makeRequest(const gate_exchange& exchange, const gate_attempt& attempt, time_point now)
{
    http::request<http::string_body> result;
    result.method_string(exchange.request.method_string());
    result.target(exchange.request.target());
    result.version(11);
    http::token_list named(exchange.request[http::field::connection]);
    for (const auto& field : exchange.request) {
        const bool listed = named.exists(field.name_string());
        if (!isHopByHop(field.name()) && field.name() != http::field::content_length && !listed)
            result.insert(field.name(), field.name_string(), field.value());
    }
    platform::addEndpointFacts(result, attempt.command.endpoint, elapsed(now, attempt.command.deadline));
    result.body() = exchange.request.body();
    const bool hadBody = exchange.request.has_content_length() || exchange.request.chunked() || !result.body().empty();
    if (hadBody)
        result.content_length(result.body().size());
    return result;
}

/** Reads the head of an answer, past provisional ones. */
static asio::awaitable<error_code> readHead(gate_attempt& attempt, bool headRequest)
{
    error_code error;
    for (int provisional = 0; provisional <= MostProvisionalAnswers; ++provisional) {
        attempt.parser.emplace();
        attempt.parser->body_limit(boost::none);
        attempt.parser->skip(headRequest);
        co_await http::async_read_header(attempt.connection->socket, attempt.connection->buffer, *attempt.parser,
            asio::redirect_error(asio::use_awaitable, error));
        if (error || attempt.parser->get().result_int() >= 200)
            co_return error;
    }
    co_return http::make_error_code(http::error::bad_status);
}

asio::awaitable<bool> readMore(gate_attempt& attempt)
{
    if (attempt.parser->is_done())
        co_return true;
    const auto before = attempt.body.size();
    attempt.body.resize(before + RelayBytes);
    auto& body = attempt.parser->get().body();
    body.data = attempt.body.data() + before;
    body.size = RelayBytes;
    body.more = true;
    error_code error;
    co_await http::async_read_some(attempt.connection->socket, attempt.connection->buffer, *attempt.parser,
        asio::redirect_error(asio::use_awaitable, error));
    attempt.body.resize(before + RelayBytes - body.size);
    if (error == http::error::need_buffer)
        error = {};
    co_return !error;
}

/** Reads the rest of an answer that belongs to a former request, without keeping it. */
static asio::awaitable<bool> skipBody(gate_attempt& attempt)
{
    std::size_t skipped = 0;
    while (!attempt.parser->is_done()) {
        const bool read = co_await readMore(attempt);
        skipped += attempt.body.size();
        attempt.body.clear();
        if (!read || skipped > MostStrayBytes)
            co_return false;
    }
    co_return true;
}

/** Reads the head of the answer to this request; answers to former requests are skipped. */
static asio::awaitable<bool> readOwnHead(gate_attempt& attempt, const gate_exchange& exchange, std::string& reason)
{
    const bool headRequest = exchange.request.method() == http::verb::head;
    // Without an id a refusal is known to be of this request only where no other one could be answered.
    const bool nothingBefore = !attempt.connection->rested;
    for (int stray = 0; stray <= MostStrayAnswers; ++stray) {
        const auto error = co_await readHead(attempt, headRequest);
        if (error) {
            reason = "answer: " + error.message();
            co_return false;
        }
        attempt.facts = platform::decodeAnswer(attempt.parser->get(), attempt.parser->get().result_int());
        const bool own = attempt.facts.id == exchange.callerId || (attempt.facts.id.empty() && attempt.facts.notRun && nothingBefore && stray == 0);
        if (own)
            co_return true;
        const bool skipped = co_await skipBody(attempt);
        if (!skipped)
            break;
    }
    reason = "answer to another request";
    co_return false;
}

/** Reads the answer: the head and the body, or the first part of a large one. */
static asio::awaitable<dispatch_outcome> readAnswer(gate_attempt& attempt, const gate_exchange& exchange, std::string& reason)
{
    const bool head = co_await readOwnHead(attempt, exchange, reason);
    if (!head)
        co_return dispatch_outcome::Lost;
    while (!attempt.parser->is_done() && attempt.body.size() < WholeAnswerBytes) {
        const bool read = co_await readMore(attempt);
        if (!read) {
            reason = "answer broke off";
            co_return dispatch_outcome::Cut;
        }
    }
    const auto status = attempt.parser->get().result_int();
    if (attempt.facts.notRun) {
        reason = "refused with status " + std::to_string(status);
        co_return dispatch_outcome::Shed;
    }
    // Such a status promises that nothing ran; without the endpoint's proof it cannot be passed on.
    const bool promises = status == 429 || status == 503 || status == 408 || status == 421;
    if (promises || (status < 300 && !attempt.facts.signedAnswer)) {
        reason = "answer without proof, status " + std::to_string(status);
        co_return dispatch_outcome::Lost;
    }
    co_return dispatch_outcome::Whole;
}

/** Whether the endpoint did not know the kept connection any more: not a byte came back, and its end within a round trip. */
static bool isForgotten(const gate_attempt& attempt, time_point now)
{
    if (elapsed(attempt.startedAt, now) > attempt.command.roundTrip + RoundTripJitter)
        return false;
    const bool silent = attempt.parser && !attempt.parser->got_some() && attempt.connection && attempt.connection->buffer.size() == 0;
    return silent && attempt.connection->rested;
}

static void report(gate_shell& shell, gate_attempt& attempt, dispatch_outcome ended, std::string reason)
{
    attempt.reported = true;
    attempt_seen event;
    event.request = attempt.command.request;
    event.attempt = attempt.command.attempt;
    event.outcome = attempt.cancelled ? dispatch_outcome::CallerGone : ended;
    if (attempt.parser && attempt.parser->is_header_done())
        event.status = attempt.parser->get().result_int();
    event.misdirected = attempt.facts.misdirected;
    event.reported = attempt.facts.reported;
    event.running = attempt.facts.running;
    event.waiting = attempt.facts.waiting;
    event.slots = attempt.facts.slots;
    event.coldLeft = attempt.facts.coldLeft;
    event.forgotten = event.outcome == dispatch_outcome::Lost && isForgotten(attempt, shell.clock.now());
    if (event.forgotten) {
        ++shell.counters.forgotten;
        noteForgotten(shell.reuse, attempt.command.address, *attempt.connection->rested, shell.clock.now());
    }
    if (event.status != 0)
        noteAlive(shell.reuse, attempt.command.address, shell.clock.now());
    event.reason = std::move(reason);
    feedGate(shell, std::move(event));
}

/** Closes the connection of an attempt, also for the writer of its request. */
static void closeConnection(gate_attempt& attempt)
{
    if (!attempt.connection)
        return;
    error_code ignored; // Closing ends what is still read and written.
    attempt.connection->socket.close(ignored);
    attempt.connection.reset();
}

/** Writes the request while its answer is awaited: an endpoint may answer before it has read a long body. */
static asio::awaitable<void> writeRequest(
    std::shared_ptr<gate_attempt> attempt, std::shared_ptr<endpoint_connection> connection, http::request<http::string_body> request)
{
    error_code error;
    co_await http::async_write(connection->socket, request, asio::redirect_error(asio::use_awaitable, error));
    // A failed write shows in the answer's read as well.
    attempt->written = !error;
}

/** Whether the caller has left while the attempt was prepared; its requests are dropped then. */
static bool dropIfLeft(gate_shell& shell, const gate_exchange& exchange)
{
    const auto caller = exchange.caller.lock();
    if (caller && caller->socket.is_open() && !hasLeft(*caller))
        return false;
    feedGate(shell, caller_gone { exchange.id });
    return true;
}

asio::awaitable<void> runAttempt(gate_shell& shell, std::shared_ptr<gate_attempt> attempt)
{
    const auto exchange = attempt->exchange.lock();
    if (!exchange || attempt->cancelled) {
        report(shell, *attempt, dispatch_outcome::ConnectFailed, "not sent");
        co_return;
    }
    attempt->connection = takeIdle(shell, attempt->command.address, longestRest(shell.reuse, attempt->command.repeatable, shell.clock.now()));
    std::string reason;
    if (!attempt->connection) {
        auto connection = co_await connectTo(shell, *attempt, reason);
        if (!connection || attempt->cancelled) {
            report(shell, *attempt, dispatch_outcome::ConnectFailed, reason);
            co_return;
        }
        attempt->connection = std::move(connection);
        const bool left = dropIfLeft(shell, *exchange);
        if (left) {
            report(shell, *attempt, dispatch_outcome::CallerGone, "the caller left before the request was sent");
            co_return;
        }
    }
    attempt->startedAt = shell.clock.now();
    asio::co_spawn(shell.context, writeRequest(attempt, attempt->connection, makeRequest(*exchange, *attempt, shell.clock.now())), asio::detached);
    const auto ended = co_await readAnswer(*attempt, *exchange, reason);
    report(shell, *attempt, ended, std::move(reason));
    const bool whole = attempt->parser && attempt->parser->is_done();
    if (whole && !attempt->cancelled)
        releaseConnection(shell, *attempt);
    else if (ended != dispatch_outcome::Whole || attempt->cancelled)
        closeConnection(*attempt);
}

void sweepOrphans(gate_shell& shell)
{
    const auto now = shell.clock.now();
    std::erase_if(shell.orphans, [&](const auto& attempt) {
        if (!attempt->reported && now < attempt->command.deadline + OrphanTime)
            return false;
        if (!attempt->reported)
            cancelAttempt(*attempt);
        return true;
    });
}

void cancelAttempt(gate_attempt& attempt)
{
    attempt.cancelled = true;
    if (!attempt.connection)
        return;
    error_code ignored; // Closing ends the reads and writes of the attempt.
    attempt.connection->socket.close(ignored);
}

/** How long the endpoint keeps the connection. */
static milliseconds keepAliveOf(const answer_parser& parser)
{
    const std::string text(parser.get()[http::field::keep_alive]);
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
    const bool kept = attempt.written && attempt.parser->is_done() && attempt.parser->get().keep_alive() && !attempt.parser->get().need_eof();
    const auto keep = keepAliveOf(*attempt.parser);
    // Bytes after a complete answer belong to no request.
    if (!kept || connection->buffer.size() > 0 || keep.count() <= 0 || shell.idleCount >= shell.room.idleConnections) {
        closeConnection(attempt);
        return;
    }
    attempt.connection.reset();
    connection->buffer = beast::flat_buffer { MostUnparsedBytes };
    connection->idleSince = shell.clock.now();
    connection->keepUntil = connection->idleSince + keep;
    auto& others = shell.idle[connection->address];
    if (others.size() >= MostIdlePerAddress)
        return;
    others.push_back(connection);
    ++shell.idleCount;
}

void dropIdle(gate_shell& shell, const std::string& address)
{
    const auto found = shell.idle.find(address);
    if (found == shell.idle.end())
        return;
    shell.idleCount -= found->second.size();
    shell.idle.erase(found);
}

void sweepIdle(gate_shell& shell)
{
    const auto now = shell.clock.now();
    for (auto at = shell.idle.begin(); at != shell.idle.end();) {
        auto& kept = at->second;
        const auto expired = std::remove_if(kept.begin(), kept.end(), [&](const auto& connection) { return now >= connection->keepUntil; });
        shell.idleCount -= static_cast<std::size_t>(kept.end() - expired);
        kept.erase(expired, kept.end());
        at = kept.empty() ? shell.idle.erase(at) : std::next(at);
    }
}

} // namespace lhub
