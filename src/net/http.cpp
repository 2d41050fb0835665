/** @file http.cpp Client calls and servers of HTTP messages that are held in memory as a whole. */
#include "net/http_func.h"

#include "core/json_fields.h"
#include "net/response_head_func.h"
#include <charconv>

namespace lhub {

outcome<tcp::endpoint> parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return failure<tcp::endpoint>("address '" + text + "': expected IP:port");
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error)
        return failure<tcp::endpoint>("address '" + text + "': expected a numeric IP");
    std::uint16_t port = 0;
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    const auto parsed = std::from_chars(first, last, port);
    if (parsed.ec != std::errc() || parsed.ptr != last)
        return failure<tcp::endpoint>("address '" + text + "': expected a port of 0 to 65535");
    return success(tcp::endpoint(ip, port));
}

std::string addressText(const tcp::endpoint& endpoint)
{
    const auto host = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

asio::awaitable<http_call_result> httpCall(tcp::endpoint to, http_request request, milliseconds timeout)
{
    http_call_result reply;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await stream.async_connect(to, token);
    if (error) {
        reply.reason = "connect " + addressText(to) + ": " + error.message();
        co_return reply;
    }
    reply.result = http_result::NoResponse;
    request.prepare_payload();
    co_await http::async_write(stream, request, token);
    if (!error) {
        beast::flat_buffer buffer;
        auto received = co_await readWholeResponse(stream, buffer, request.method());
        if (!received.error) {
            reply.result = http_result::ResponseReceived;
            reply.response = std::move(received.response);
            co_return reply;
        }
        error = received.error;
    }
    reply.reason = "call " + addressText(to) + ": " + error.message();
    co_return reply;
}

outcome<tcp::acceptor> listenAt(const asio::any_io_executor& executor, const std::string& address)
{
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return failure<tcp::acceptor>(endpoint.reason);
    tcp::acceptor acceptor(executor);
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return failure<tcp::acceptor>("listen at " + address + ": " + error.message());
    return success(std::move(acceptor));
}

/** Serves the requests of one connection, one after another. */
static asio::awaitable<void> serveConnection(tcp::socket socket, http_handler handler, http_limits limits)
{
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    socket.set_option(tcp::no_delay(true), error);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(limits.bodyBytes);
        stream.expires_after(limits.idle);
        co_await http::async_read(stream, buffer, parser, token);
        if (error)
            co_return;
        stream.expires_never();
        const auto request = parser.release();
        auto response = co_await handler(request);
        const bool keepAlive = request.keep_alive() && response.keep_alive();
        response.version(request.version());
        response.keep_alive(keepAlive);
        response.prepare_payload();
        stream.expires_after(limits.idle);
        co_await http::async_write(stream, response, token);
        if (error || !keepAlive)
            co_return;
    }
}

asio::awaitable<void> serveHttp(tcp::acceptor& acceptor, http_handler handler, http_limits limits)
{
    boost::system::error_code error;
    while (acceptor.is_open()) {
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        asio::co_spawn(acceptor.get_executor(), serveConnection(std::move(socket), handler, limits), asio::detached);
    }
}

bool isHopByHop(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

http_response makeResponse(http::status status, std::string body, std::string_view contentType)
{
    http_response response(status, 11);
    response.set(http::field::content_type, beast::string_view(contentType.data(), contentType.size()));
    response.body() = std::move(body);
    return response;
}

http_response makeProblem(http::status status, const std::string& title, const std::string& detail)
{
    const json::value document = { { "type", "about:blank" }, { "title", title },
        { "status", static_cast<unsigned>(status) }, { "detail", detail } };
    return makeResponse(status, json::serialize(document), "application/problem+json");
}

/** Value of a hexadecimal digit, or -1. */
static int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

static std::string percentDecoded(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped
            = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (!escaped) {
            result += text[i];
            continue;
        }
        result += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
        i += 2;
    }
    return result;
}

std::map<std::string, std::string> queryOf(std::string_view target)
{
    std::map<std::string, std::string> result;
    const auto mark = target.find('?');
    if (mark == std::string_view::npos)
        return result;
    auto rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        result[percentDecoded(pair.substr(0, equals))] = percentDecoded(value);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return result;
}

std::string pathOf(std::string_view target) { return std::string(target.substr(0, target.find('?'))); }

} // namespace lhub
