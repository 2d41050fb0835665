/**
 * @file forward.cpp One dispatch of a request: connects, sends the request and relays the response. The first part of a
 * request's body is held in memory, for another dispatch if it is the whole body; the rest and the bodies of responses are
 * streamed.
 */
#include "shell/exchange_type.h"

#include "net/http_func.h"
#include "net/response_head_func.h"
#include "request/request_func.h"
#include <array>

namespace lhub {

using upstream_parser = http::response_parser<http::buffer_body>;
using error_code = boost::system::error_code;

namespace {

    /** A dispatch that is running. */
    struct dispatch_attempt {
        caller_exchange& exchange; ///< The exchange that it belongs to.
        dispatch command; ///< Address and deadline, from the reducer.
        std::unique_ptr<beast::tcp_stream> upstream; ///< Connection to the endpoint or the other entry VM.
        beast::flat_buffer buffer; ///< Bytes read from upstream and not parsed yet.
        std::vector<char> relayBuffer; ///< Bodies are relayed through it.
    };

} // namespace

/** Takes the connection that became idle last, unless it was idle for too long; null when there is none. */
static std::unique_ptr<beast::tcp_stream> takeIdleConnection(caller_exchange& exchange, const std::string& address)
{
    auto& connections = exchange.shell.idleConnections[address];
    const auto now = exchange.shell.clock.now();
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (elapsed(connection.since, now) < exchange.limits.maxIdleTime)
            return std::move(connection.stream);
        connections.clear(); // The others have been idle for longer.
    }
    return nullptr;
}

static void keepIdleConnection(
    caller_exchange& exchange, const std::string& address, std::unique_ptr<beast::tcp_stream> stream)
{
    auto& connections = exchange.shell.idleConnections[address];
    if (connections.size() >= exchange.limits.maxIdlePerAddress)
        return;
    stream->expires_never();
    connections.push_back({ std::move(stream), exchange.shell.clock.now() });
}

/** Binds a connection to another entry VM to this VM's own IP, by which the other VM checks Lhub-Source-Zone. */
static void bindToOwnIp(dispatch_attempt& attempt, const tcp::endpoint& to, error_code& error)
{
    const auto ownAddress = parseAddress(attempt.exchange.shell.settings.http);
    if (!attempt.command.hop || !ownAddress)
        return;
    attempt.upstream->socket().open(to.protocol(), error);
    if (!error)
        attempt.upstream->socket().bind(tcp::endpoint(ownAddress->address(), 0), error);
}

/**
 * Opens a connection, or takes an idle one. Requests that may not be sent again always get a new connection: on an idle
 * one that the other side has just closed they would end as "may have run".
 */
static asio::awaitable<bool> connectUpstream(dispatch_attempt& attempt)
{
    auto& exchange = attempt.exchange;
    const std::string method(exchange.parser.get().method_string());
    if (isIdempotent(method) && exchange.bodyBuffered)
        attempt.upstream = takeIdleConnection(exchange, attempt.command.address);
    if (attempt.upstream)
        co_return true;
    const auto endpoint = parseAddress(attempt.command.address);
    if (!endpoint)
        co_return false;
    attempt.upstream = std::make_unique<beast::tcp_stream>(exchange.shell.context);
    const auto connectDeadline = exchange.shell.clock.now() + exchange.limits.connectTimeout;
    attempt.upstream->expires_at(std::min(connectDeadline, attempt.command.deadline));
    error_code error;
    bindToOwnIp(attempt, *endpoint, error);
    if (error)
        co_return false;
    co_await attempt.upstream->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        attempt.upstream->socket().set_option(tcp::no_delay(true), error);
    co_return !error;
}

/** The request to send upstream. */
static http::request<http::buffer_body> makeUpstreamRequest(const dispatch_attempt& attempt)
{
    const auto& exchange = attempt.exchange;
    const auto& received = exchange.parser.get();
    http::request<http::buffer_body> request;
    request.version(11);
    request.method_string(received.method_string());
    for (const auto& field : received) {
        if (!isHopByHop(field.name()))
            request.insert(field.name_string(), field.value());
    }
    request.target(received.target());
    request.set("Lhub-Request-Id", exchange.requestId);
    const auto left = elapsed(exchange.shell.clock.now(), attempt.command.deadline);
    request.set("Lhub-Deadline-Ms", std::to_string(left.count()));
    request.erase("Lhub-Source-Zone");
    if (attempt.command.hop) {
        request.set("Lhub-Source-Zone", exchange.shell.state.zone);
    } else {
        const auto target = received.target().substr(ServicePrefix.size() + exchange.service.size());
        request.target(target.empty() ? beast::string_view("/") : target);
    }
    request.keep_alive(true);
    if (received.chunked())
        request.chunked(true);
    else if (exchange.bodyBuffered && !exchange.body.empty())
        request.content_length(exchange.body.size());
    return request;
}

/** Writes a part of the body, and the header before the first part. An empty part with @p more false ends the body. */
template <bool IsRequest, typename Serializer>
static asio::awaitable<bool> writeBodyPart(
    beast::tcp_stream& to, http::message<IsRequest, http::buffer_body>& message, Serializer& serializer, char* data,
    std::size_t size, bool more)
{
    message.body().data = size == 0 ? nullptr : data;
    message.body().size = size;
    message.body().more = more;
    error_code error;
    co_await http::async_write(to, serializer, asio::redirect_error(asio::use_awaitable, error));
    co_return !error || error == http::error::need_buffer;
}

/** Sends the rest of the body while it is read from the caller. */
template <typename Serializer>
static asio::awaitable<bool> streamBody(
    dispatch_attempt& attempt, http::request<http::buffer_body>& request, Serializer& serializer)
{
    auto& exchange = attempt.exchange;
    while (!exchange.parser.is_done()) {
        auto& body = exchange.parser.get().body();
        body.data = attempt.relayBuffer.data();
        body.size = attempt.relayBuffer.size();
        error_code error;
        exchange.caller.expires_at(attempt.command.deadline);
        co_await http::async_read_some(
            exchange.caller, exchange.buffer, exchange.parser, asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer)
            co_return false;
        const auto size = attempt.relayBuffer.size() - body.size;
        const bool more = !exchange.parser.is_done();
        if (size == 0 && more)
            continue;
        if (!co_await writeBodyPart(*attempt.upstream, request, serializer, attempt.relayBuffer.data(), size, more))
            co_return false;
    }
    co_return true;
}

/** Sends header and body. */
static asio::awaitable<bool> sendRequest(dispatch_attempt& attempt)
{
    auto& exchange = attempt.exchange;
    auto request = makeUpstreamRequest(attempt);
    http::request_serializer<http::buffer_body> serializer(request);
    const bool more = !exchange.bodyBuffered;
    request.body().more = true;
    request.body().data = nullptr;
    attempt.upstream->expires_at(attempt.command.deadline);
    if (!co_await writeBodyPart(
            *attempt.upstream, request, serializer, exchange.body.data(), exchange.body.size(), more))
        co_return false;
    if (!more)
        co_return true;
    co_return co_await streamBody(attempt, request, serializer);
}

/** Outcome by the verdict in the response of another entry VM. Whole: relay the response. */
static dispatch_outcome hopOutcome(const upstream_parser& parser)
{
    const std::string given(parser.get()["Lhub-Verdict"]);
    if (given == nameOf(VerdictNames, verdict::NotRun))
        return dispatch_outcome::Shed;
    if (given == nameOf(VerdictNames, verdict::Ran))
        return dispatch_outcome::Whole;
    return dispatch_outcome::NoResponse;
}

/** Outcome by the header of a response, before anything is relayed. Whole: relay the response. */
static dispatch_outcome classifyHeader(const dispatch_attempt& attempt, const upstream_parser& parser)
{
    const auto responseId = parser.get()["Lhub-Request-Id"];
    if (!responseId.empty() && responseId != attempt.exchange.requestId)
        return dispatch_outcome::NoResponse;
    if (hasUnrequestedCoding(parser.get(), attempt.exchange.parser.get()))
        return dispatch_outcome::NoResponse;
    if (attempt.command.hop)
        return hopOutcome(parser);
    if (parser.get().result() == http::status::service_unavailable)
        return dispatch_outcome::Shed;
    return dispatch_outcome::Whole;
}

/** The response to send to the caller. */
static http::response<http::buffer_body> makeCallerResponse(
    const dispatch_attempt& attempt, const upstream_parser& parser)
{
    const auto& received = parser.get();
    http::response<http::buffer_body> response;
    response.version(11);
    response.result(received.result_int());
    for (const auto& field : received) {
        if (!isHopByHop(field.name()))
            response.insert(field.name_string(), field.value());
    }
    response.set("Lhub-Request-Id", attempt.exchange.requestId);
    response.set("Lhub-Verdict", std::string(nameOf(VerdictNames, verdict::Ran)));
    response.set("Lhub-Vm", attempt.exchange.shell.state.vm);
    response.keep_alive(attempt.exchange.keepAlive);
    const bool lengthKnown
        = received.has_content_length() || received.result_int() == 204 || received.result_int() == 304;
    if (!lengthKnown)
        response.chunked(true);
    return response;
}

/** Relays header and body of the response. */
static asio::awaitable<dispatch_outcome> relayResponse(dispatch_attempt& attempt, upstream_parser& parser)
{
    auto& exchange = attempt.exchange;
    auto response = makeCallerResponse(attempt, parser);
    http::response_serializer<http::buffer_body> serializer(response);
    exchange.mustNotResend = true;
    error_code error;
    while (true) {
        auto& body = parser.get().body();
        body.data = attempt.relayBuffer.data();
        body.size = attempt.relayBuffer.size();
        if (!parser.is_done()) {
            co_await http::async_read_some(
                *attempt.upstream, attempt.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer)
                co_return dispatch_outcome::Truncated;
        }
        const auto size = attempt.relayBuffer.size() - body.size;
        const bool more = !parser.is_done();
        if (size == 0 && more)
            continue;
        exchange.caller.expires_at(attempt.command.deadline);
        if (!co_await writeBodyPart(exchange.caller, response, serializer, attempt.relayBuffer.data(), size, more))
            co_return dispatch_outcome::CallerGone;
        if (!more)
            co_return dispatch_outcome::Whole;
    }
}

/** Reads the header of the response, and relays the response if it belongs to this request and is no refusal. */
static asio::awaitable<dispatch_outcome> receiveResponse(dispatch_attempt& attempt)
{
    std::optional<upstream_parser> parser;
    const response_head_options options { attempt.exchange.parser.get().method() == http::verb::head, attempt.exchange.limits.maxHeaderBytes };
    attempt.upstream->expires_at(attempt.command.deadline);
    const auto error = co_await readFinalResponseHead(*attempt.upstream, attempt.buffer, parser, options);
    if (error == beast::error::timeout)
        co_return dispatch_outcome::TimedOut;
    if (error)
        co_return dispatch_outcome::NoResponse;
    attempt.exchange.endpointLeaving = !parser->get()["Lhub-Leaving"].empty();
    const auto outcome = classifyHeader(attempt, *parser);
    if (outcome != dispatch_outcome::Whole)
        co_return outcome;
    const auto ended = co_await relayResponse(attempt, *parser);
    // Bytes after a complete response belong to no request; a connection with such bytes is not reused.
    if (ended == dispatch_outcome::Whole && parser->keep_alive() && attempt.buffer.size() == 0)
        keepIdleConnection(attempt.exchange, attempt.command.address, std::move(attempt.upstream));
    co_return ended;
}

asio::awaitable<dispatch_outcome> forwardOnce(caller_exchange& exchange, dispatch command)
{
    dispatch_attempt attempt { exchange, std::move(command), nullptr, {},
        std::vector<char>(exchange.limits.relayBufferBytes) };
    if (!co_await connectUpstream(attempt))
        co_return dispatch_outcome::ConnectFailed;
    const bool streamed = !exchange.bodyBuffered;
    if (!co_await sendRequest(attempt)) {
        const bool deadlinePassed = exchange.shell.clock.now() >= attempt.command.deadline;
        co_return deadlinePassed ? dispatch_outcome::TimedOut : dispatch_outcome::NoResponse;
    }
    if (streamed)
        exchange.mustNotResend = true; // The streamed part of the body is not kept, so the request cannot be sent again.
    co_return co_await receiveResponse(attempt);
}

} // namespace lhub
