/** @file forward.cpp One dispatch: connect, send, read, relay. Bodies are never held whole. */
#include "shell/exchange_type.h"

#include "net/http_func.h"
#include "request/request_func.h"
#include <array>

namespace lhub {

using response_head_parser = http::response_parser<http::buffer_body>;
using error_code = boost::system::error_code;

namespace {

    /** One dispatch while it runs. */
    struct forwarding {
        exchange& each; ///< The exchange it serves.
        dispatch command; ///< Where to.
        std::unique_ptr<beast::tcp_stream> upstream; ///< The connection.
        beast::flat_buffer buffer; ///< What was read from it and not parsed yet.
        std::vector<char> relay; ///< Buffer for bodies.
    };

} // namespace

/** Takes an idle connection that is fresh enough; null when there is none. */
static std::unique_ptr<beast::tcp_stream> takeIdle(exchange& each, const std::string& address)
{
    auto& idle = each.shell.idle[address];
    const auto now = each.shell.clock.now();
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (elapsed(connection.since, now) < each.limits.freshEnough)
            return std::move(connection.stream);
        idle.clear();
    }
    return nullptr;
}

static void keepIdle(exchange& each, const std::string& address, std::unique_ptr<beast::tcp_stream> stream)
{
    auto& idle = each.shell.idle[address];
    if (idle.size() >= each.limits.idlePerAddress)
        return;
    stream->expires_never();
    idle.push_back({ std::move(stream), each.shell.clock.now() });
}

/** Lets a hop come from this VM's own IP, by which the other VM knows it. */
static void bindHop(forwarding& run, const tcp::endpoint& to, error_code& error)
{
    const auto own = parseAddress(run.each.shell.settings.http);
    if (!run.command.hop || !own)
        return;
    run.upstream->socket().open(to.protocol(), error);
    if (!error)
        run.upstream->socket().bind(tcp::endpoint(own->address(), 0), error);
}

/**
 * Opens a connection, or takes an idle one. Requests that may not be repeated always get a fresh one: on an idle
 * connection that the other side has just closed they would end as "may have run".
 */
static asio::awaitable<bool> connectUpstream(forwarding& run)
{
    auto& each = run.each;
    const std::string method(each.parser.get().method_string());
    if (isIdempotent(method) && each.bodyKept)
        run.upstream = takeIdle(each, run.command.address);
    if (run.upstream)
        co_return true;
    const auto endpoint = parseAddress(run.command.address);
    if (!endpoint)
        co_return false;
    run.upstream = std::make_unique<beast::tcp_stream>(each.shell.context);
    const auto soon = each.shell.clock.now() + each.limits.connectTime;
    run.upstream->expires_at(std::min(soon, run.command.deadline));
    error_code error;
    bindHop(run, *endpoint, error);
    if (error)
        co_return false;
    co_await run.upstream->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        run.upstream->socket().set_option(tcp::no_delay(true), error);
    co_return !error;
}

/** The request as it goes upstream. */
static http::request<http::buffer_body> makeUpstreamRequest(const forwarding& run)
{
    const auto& each = run.each;
    const auto& given = each.parser.get();
    http::request<http::buffer_body> request;
    request.version(11);
    request.method_string(given.method_string());
    for (const auto& field : given) {
        if (!isHopByHop(field.name()))
            request.insert(field.name_string(), field.value());
    }
    request.target(given.target());
    request.set("Lhub-Request-Id", each.requestId);
    const auto left = elapsed(each.shell.clock.now(), run.command.deadline);
    request.set("Lhub-Deadline-Ms", std::to_string(left.count()));
    request.erase("Lhub-Source-Zone");
    if (run.command.hop) {
        request.set("Lhub-Source-Zone", each.shell.state.zone);
    } else {
        const auto target = given.target().substr(ServicePrefix.size() + each.service.size());
        request.target(target.empty() ? beast::string_view("/") : target);
    }
    request.keep_alive(true);
    if (given.chunked())
        request.chunked(true);
    else if (each.bodyKept && !each.body.empty())
        request.content_length(each.body.size());
    return request;
}

/** Writes a piece of the body; an empty piece with @p more false ends it. */
template <bool IsRequest, typename Serializer>
static asio::awaitable<bool> writePiece(
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

/** Sends what is left of the caller's body, piece by piece. */
template <typename Serializer>
static asio::awaitable<bool> streamBody(
    forwarding& run, http::request<http::buffer_body>& request, Serializer& serializer)
{
    auto& each = run.each;
    while (!each.parser.is_done()) {
        auto& body = each.parser.get().body();
        body.data = run.relay.data();
        body.size = run.relay.size();
        error_code error;
        each.caller.expires_at(run.command.deadline);
        co_await http::async_read_some(
            each.caller, each.buffer, each.parser, asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer)
            co_return false;
        const auto size = run.relay.size() - body.size;
        const bool more = !each.parser.is_done();
        if (size == 0 && more)
            continue;
        if (!co_await writePiece(*run.upstream, request, serializer, run.relay.data(), size, more))
            co_return false;
    }
    co_return true;
}

/** Sends head and body. */
static asio::awaitable<bool> sendRequest(forwarding& run)
{
    auto& each = run.each;
    auto request = makeUpstreamRequest(run);
    http::request_serializer<http::buffer_body> serializer(request);
    const bool more = !each.bodyKept;
    request.body().more = true;
    request.body().data = nullptr;
    run.upstream->expires_at(run.command.deadline);
    if (!co_await writePiece(*run.upstream, request, serializer, each.body.data(), each.body.size(), more))
        co_return false;
    if (!more)
        co_return true;
    co_return co_await streamBody(run, request, serializer);
}

/** Verdict that another entry VM gave in its answer. */
static dispatch_outcome hopOutcome(const response_head_parser& parser)
{
    const std::string said(parser.get()["Lhub-Verdict"]);
    if (said == nameOf(VerdictNames, verdict::NotRun))
        return dispatch_outcome::Shed;
    if (said == nameOf(VerdictNames, verdict::Ran))
        return dispatch_outcome::Whole;
    return dispatch_outcome::Lost;
}

/** What the head of an answer means before anything is relayed; Whole: relay it. */
static dispatch_outcome judgeHead(const forwarding& run, const response_head_parser& parser)
{
    const auto echoed = parser.get()["Lhub-Request-Id"];
    if (!echoed.empty() && echoed != run.each.requestId)
        return dispatch_outcome::Lost;
    if (run.command.hop)
        return hopOutcome(parser);
    if (parser.get().result() == http::status::service_unavailable)
        return dispatch_outcome::Shed;
    return dispatch_outcome::Whole;
}

/** The head of the answer as it goes to the caller. */
static http::response<http::buffer_body> makeCallerResponse(
    const forwarding& run, const response_head_parser& parser)
{
    const auto& given = parser.get();
    http::response<http::buffer_body> response;
    response.version(11);
    response.result(given.result_int());
    for (const auto& field : given) {
        if (!isHopByHop(field.name()))
            response.insert(field.name_string(), field.value());
    }
    response.set("Lhub-Request-Id", run.each.requestId);
    response.set("Lhub-Verdict", std::string(nameOf(VerdictNames, verdict::Ran)));
    response.set("Lhub-Vm", run.each.shell.state.vm);
    response.keep_alive(run.each.keepCaller);
    const bool framed = given.has_content_length() || given.result_int() == 204 || given.result_int() == 304;
    if (!framed)
        response.chunked(true);
    return response;
}

/** Relays head and body of the answer. */
static asio::awaitable<dispatch_outcome> relayAnswer(forwarding& run, response_head_parser& parser)
{
    auto& each = run.each;
    auto response = makeCallerResponse(run, parser);
    http::response_serializer<http::buffer_body> serializer(response);
    each.relayed = true;
    error_code error;
    while (true) {
        auto& body = parser.get().body();
        body.data = run.relay.data();
        body.size = run.relay.size();
        if (!parser.is_done()) {
            co_await http::async_read_some(
                *run.upstream, run.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer)
                co_return dispatch_outcome::Cut;
        }
        const auto size = run.relay.size() - body.size;
        const bool more = !parser.is_done();
        if (size == 0 && more)
            continue;
        each.caller.expires_at(run.command.deadline);
        if (!co_await writePiece(each.caller, response, serializer, run.relay.data(), size, more))
            co_return dispatch_outcome::CallerGone;
        if (!more)
            co_return dispatch_outcome::Whole;
    }
}

/** Reads the answer's head and relays it if it is this request's own whole answer. */
static asio::awaitable<dispatch_outcome> receiveAnswer(forwarding& run)
{
    response_head_parser parser;
    parser.body_limit(boost::none);
    parser.header_limit(run.each.limits.headerBytes);
    if (run.each.parser.get().method() == http::verb::head)
        parser.skip(true);
    error_code error;
    run.upstream->expires_at(run.command.deadline);
    co_await http::async_read_header(
        *run.upstream, run.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout)
        co_return dispatch_outcome::TimedOut;
    if (error)
        co_return dispatch_outcome::Lost;
    run.each.endpointLeaving = !parser.get()["Lhub-Leaving"].empty();
    const auto judged = judgeHead(run, parser);
    if (judged != dispatch_outcome::Whole)
        co_return judged;
    const auto ended = co_await relayAnswer(run, parser);
    if (ended == dispatch_outcome::Whole && parser.keep_alive())
        keepIdle(run.each, run.command.address, std::move(run.upstream));
    co_return ended;
}

asio::awaitable<dispatch_outcome> forwardOnce(exchange& each, dispatch command)
{
    forwarding run { each, std::move(command), nullptr, {}, std::vector<char>(each.limits.relayBytes) };
    if (!co_await connectUpstream(run))
        co_return dispatch_outcome::ConnectFailed;
    const bool streamed = !each.bodyKept;
    if (!co_await sendRequest(run)) {
        const bool late = each.shell.clock.now() >= run.command.deadline;
        co_return late ? dispatch_outcome::TimedOut : dispatch_outcome::Lost;
    }
    if (streamed)
        each.relayed = true; // the body is gone: the request cannot be sent again
    co_return co_await receiveAnswer(run);
}

} // namespace lhub
