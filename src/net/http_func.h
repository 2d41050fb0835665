/** @file http_func.h Client calls and servers of HTTP messages that are held in memory as a whole. */
#pragma once

#include "net/http_type.h"
#include <map>

namespace lhub {

/** Parses "IP:port" or "[IPv6]:port"; fails with the reason. Thread safe. */
outcome<tcp::endpoint> parseAddress(const std::string& text);

/** The address as "IP:port", with brackets for IPv6. Thread safe. */
std::string addressText(const tcp::endpoint& endpoint);

/** Sends one request over a new connection and reads the whole response; @p timeout bounds all of it. */
asio::awaitable<http_call_result> httpCall(tcp::endpoint to, http_request request, milliseconds timeout);

/** Makes the response to a request. */
using http_handler = std::function<asio::awaitable<http_response>(const http_request&)>;

/** Limits of serveHttp(). */
struct http_limits {
    std::uint64_t bodyBytes = 2'000'000; ///< Largest request body, in bytes.
    seconds idle { 60 }; ///< Longest time to read one request, with the wait for it, or to write one response.
};

/** Listens at @p address, "IP:port"; with port 0 the kernel chooses one. Fails with the reason. */
outcome<tcp::acceptor> listenAt(const asio::any_io_executor& executor, const std::string& address);

/** Accepts connections and serves their requests until the acceptor is closed. */
asio::awaitable<void> serveHttp(tcp::acceptor& acceptor, http_handler handler, http_limits limits);

/** Whether a header field concerns one connection only and is not forwarded (RFC 9110, section 7.6.1). Thread safe. */
bool isHopByHop(http::field name);

/** A response with a body. Thread safe. */
http_response makeResponse(http::status status, std::string body, std::string_view contentType = "application/json");

/** A response with a problem document (RFC 9457) as its body. Thread safe. */
http_response makeProblem(http::status status, const std::string& title, const std::string& detail);

/** The parameters of a target's query, percent-decoded. Thread safe. */
std::map<std::string, std::string> queryOf(std::string_view target);

/** The path of a target, without its query. Thread safe. */
std::string pathOf(std::string_view target);

} // namespace lhub
